#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "masticgrade/base/time.hpp"
#include "masticgrade/version/table_row.hpp"

namespace masticgrade {

/// How far a host has received a frame of compressed rows.
struct transfer_progress {
    /// Digest of the whole frame; 0 if no transfer has begun.
    std::uint64_t frame = 0;
    std::uint32_t received = 0;

    friend bool operator==(const transfer_progress&, const transfer_progress&) = default;
};

/// Queries rows of the store that the recipient has read.
struct row_query {
    std::string prefix;
    /// Digest of the rows that the sender already has.
    std::uint64_t digest = 0;
    /// Whether the sender accepts compressed rows in pieces; otherwise it gets them whole.
    bool accepts_pieces = false;
    transfer_progress progress = {};

    friend bool operator==(const row_query&, const row_query&) = default;
};

/// A part of a frame of compressed rows.
struct row_piece {
    /// Digest of the whole frame.
    std::uint64_t frame = 0;
    /// Digest of the rows that the frame is a difference from; 0 if it holds everything.
    std::uint64_t base = 0;
    std::uint32_t frame_size = 0;
    std::uint32_t offset = 0;
    std::string bytes;

    friend bool operator==(const row_piece&, const row_piece&) = default;
};

struct row_reply {
    /// False if the recipient has not read these rows.
    bool known = false;
    /// Digest of the rows that this reply, or the frame of its piece, brings.
    std::uint64_t digest = 0;
    /// Time since the recipient requested the rows from the store.
    milliseconds age{0};
    /// Empty if the querying host already has the same rows, or gets them in pieces.
    std::vector<table_row> rows = {};
    /// Era of the store in which the rows were read.
    store_era era = {};
    std::optional<row_piece> piece = {};
};

}  // namespace masticgrade

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "masticgrade/rows/row_messages.hpp"
#include "masticgrade/rows/row_snapshot.hpp"

namespace masticgrade {

/// Assembles a frame of compressed rows from pieces, which may come from several hosts. Keeps what
/// it has until the frame is complete or another one begins, so that each piece is progress.
/// Thread safety: none.
class row_download {
public:
    /// What to tell the next host that is asked.
    [[nodiscard]] transfer_progress progress() const;
    /// Adds a piece. The first piece of another frame starts over; any other piece is ignored
    /// unless it continues the frame.
    void add(const row_piece& piece);
    [[nodiscard]] bool is_complete() const;
    /// Digest of the rows that the frame is a difference from; 0 if it holds everything.
    [[nodiscard]] std::uint64_t base() const { return base_; }
    /// Takes the rows of the complete frame, given the rows that it is a difference from, and
    /// starts over. Throws masticgrade::error if the frame is damaged. Precondition:
    /// `is_complete()`.
    std::vector<table_row> take(const std::vector<table_row>& base);
    /// Abandons the frame.
    void reset();

private:
    std::uint64_t frame_ = 0;
    std::uint64_t base_ = 0;
    std::uint32_t size_ = 0;
    std::string bytes_;
};

}  // namespace masticgrade

#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "masticgrade/rows/row_messages.hpp"
#include "masticgrade/rows/row_snapshot.hpp"

namespace masticgrade {

/// The versions of rows that a host can pass on to others, in small pieces of compressed
/// differences.
///
/// Written for a large configuration that many hosts request at once over weak links: each asking
/// host has one piece under way at a time, and a frame is compressed once for all of them.
///
/// Lives as long as the process. Thread safety: none.
class row_source {
public:
    /// Size of a piece. Occupies a link of 10 Mbit/s for 6.5 ms, so that statements wait little
    /// behind it.
    static constexpr std::size_t piece_bytes = 8192;
    /// Versions kept as bases of differences. A host that asks four times a second names one of the
    /// last few, also when rows change with every read.
    static constexpr std::size_t kept_versions = 8;
    /// Memory limit of the kept versions, besides the current one.
    static constexpr std::size_t kept_bytes = std::size_t{2} << 20;
    /// Memory limit of the kept frames, besides the newest one.
    static constexpr std::size_t kept_frame_bytes = std::size_t{1} << 20;

    /// Replaces the current rows.
    void update(const row_snapshot& snapshot);
    /// Whether there are any rows.
    [[nodiscard]] bool has_rows() const { return !versions_.empty(); }
    /// The current rows. Precondition: `has_rows()`.
    [[nodiscard]] const row_snapshot& current() const { return versions_.front().snapshot; }
    /// Answers a query with the current rows, or with those of the transfer that it continues.
    /// Precondition: `has_rows()`.
    row_reply answer(const row_query& query, boot_time now);

private:
    struct version {
        row_snapshot snapshot;
        /// Empty until needed.
        std::string serialized;
    };
    struct frame {
        std::uint64_t id = 0;
        std::uint64_t base = 0;
        std::uint64_t digest = 0;
        store_era era;
        /// When the rows in the frame were last known to be current.
        boot_time read_at;
        std::string bytes;
    };

    [[nodiscard]] version* find_version(std::uint64_t digest);
    static const std::string& serialized(version& item);
    const frame* find_frame(const row_query& query);
    const frame& make_frame(std::uint64_t base);
    void drop_old_versions();
    void drop_old_frames();

    /// Newest first.
    std::deque<version> versions_;
    /// Newest first.
    std::deque<frame> frames_;
};

}  // namespace masticgrade

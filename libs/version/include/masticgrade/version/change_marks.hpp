#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// The marks of the most recent changes to a row, newest first. A mark is a random identifier of
/// one change. A writer that did not learn the outcome of its change looks for its mark here to
/// find out whether the change was committed, even if others have since overwritten the row.
/// Thread safety: same as std::vector.
class change_marks {
public:
    /// A writer finds its mark as long as fewer than 8 other changes have followed.
    static constexpr std::size_t capacity = 8;

    change_marks() = default;
    /// Precondition: there are at most `capacity` marks, none of them empty.
    explicit change_marks(std::vector<std::string> newest_first);

    /// Adds a mark as the newest and evicts the oldest beyond the capacity. Has no effect if the
    /// mark is already the newest. Precondition: `mark` is not empty.
    void add(std::string mark);
    [[nodiscard]] bool contains(std::string_view mark) const;
    [[nodiscard]] const std::vector<std::string>& newest_first() const noexcept { return marks_; }
    /// The newest mark, or an empty string if there are none.
    [[nodiscard]] std::string newest() const { return marks_.empty() ? "" : marks_.front(); }

    friend bool operator==(const change_marks&, const change_marks&) = default;

private:
    std::vector<std::string> marks_;
};

/// The outcome of a change whose commit got no definite answer, as determined by reading the row.
enum class change_resolution {
    /// The change was committed.
    committed,
    /// A conflicting change was committed, so the condition of this one can no longer hold.
    lost,
    /// The row is unchanged: the commit may still be in flight. The caller retries the same commit.
    pending,
    /// Cannot be determined: more changes followed than the row keeps marks for.
    unknown
};

/// The version and marks of a row; version 0 and no marks if the row does not exist.
struct row_state {
    fleet_version version;
    change_marks marks;
};

/// Determines the outcome of the change identified by `mark`, which was conditional on the row
/// state `base`, from the row state `present` that was read later. Thread safety: reentrant.
change_resolution resolve_change(const row_state& base, std::string_view mark,
                                 const row_state& present);

}  // namespace masticgrade

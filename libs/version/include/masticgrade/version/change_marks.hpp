#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

/// The random marks of the last changes of a row, newest first. A writer that got no clear answer
/// finds out from them whether its change was committed, even after others overwrote it.
/// Thread safety: same as std::vector.
class change_marks {
public:
    /// With 8 marks, a writer that reads the row within 8 later changes still finds its own.
    static constexpr std::size_t capacity = 8;

    change_marks() = default;
    /// Precondition: at most `capacity` marks, none empty.
    explicit change_marks(std::vector<std::string> newest_first);

    /// Puts a mark first and drops the oldest above the capacity. Does nothing if it is already
    /// the newest. Precondition: `mark` is not empty.
    void add(std::string mark);
    [[nodiscard]] bool contains(std::string_view mark) const;
    [[nodiscard]] const std::vector<std::string>& newest_first() const noexcept { return marks_; }
    /// The newest mark, or an empty text.
    [[nodiscard]] std::string newest() const { return marks_.empty() ? "" : marks_.front(); }

    friend bool operator==(const change_marks&, const change_marks&) = default;

private:
    std::vector<std::string> marks_;
};

/// What a row that was read after an unclear answer says about the change.
enum class change_resolution {
    /// The change took effect.
    committed,
    /// Another change took its place; this one cannot take effect any more.
    lost,
    /// The row is unchanged: the commit may still arrive, so the same commit is repeated.
    pending,
    /// More changes followed than the row remembers.
    unknown
};

/// The version and the marks of a row; version 0 and no marks when the row does not exist.
struct row_state {
    fleet_version version;
    change_marks marks;
};

/// Decides whether the change with `mark`, conditional on the row as `base`, took effect, given
/// the row as `present`. Thread safety: reentrant.
change_resolution resolve_change(const row_state& base, std::string_view mark,
                                 const row_state& present);

}  // namespace masticgrade

#include "masticgrade/version/change_marks.hpp"

#include <algorithm>
#include <utility>

#include "masticgrade/base/invariant.hpp"

namespace masticgrade {

change_marks::change_marks(std::vector<std::string> newest_first)
    : marks_(std::move(newest_first)) {
    MG_PRECONDITION(marks_.size() <= capacity);
    MG_PRECONDITION(!contains(""));
}

void change_marks::add(std::string mark) {
    MG_PRECONDITION(!mark.empty());
    if (newest() == mark) {
        return;
    }
    marks_.insert(marks_.begin(), std::move(mark));
    marks_.resize(std::min(marks_.size(), capacity));
}

bool change_marks::contains(std::string_view mark) const {
    return std::find(marks_.begin(), marks_.end(), mark) != marks_.end();
}

change_resolution resolve_change(const row_state& base, std::string_view mark,
                                 const row_state& present) {
    if (present.marks.contains(mark)) {
        return change_resolution::committed;
    }
    if (present.version <= base.version) {
        // A read from a lagging replica may even be older than the base, so this is inconclusive.
        return change_resolution::pending;
    }
    // The marks cover every change since the base if they include the mark of the base, or if the
    // list is not full and no mark has been evicted.
    const bool marks_reach_base =
        present.marks.newest_first().size() < change_marks::capacity ||
        (!base.marks.newest().empty() && present.marks.contains(base.marks.newest()));
    return marks_reach_base ? change_resolution::lost : change_resolution::unknown;
}

}  // namespace masticgrade

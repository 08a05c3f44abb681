#include "masticgrade/net/http_message.hpp"

#include <algorithm>
#include <cctype>

namespace masticgrade {

namespace {

bool equal_ignoring_case(std::string_view left, std::string_view right) {
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

}  // namespace

std::optional<std::string_view> http_headers::find(std::string_view name) const {
    for (const auto& [field, value] : fields_) {
        if (equal_ignoring_case(field, name)) {
            return value;
        }
    }
    return std::nullopt;
}

}  // namespace masticgrade

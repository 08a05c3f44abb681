#pragma once

#include <optional>
#include <string>

#include "masticgrade/gateway/log_index.hpp"

namespace masticgrade::edge_test {

/// Takes the first word off a line.
std::string take_word(std::string& text);
/// Takes the prefix that names the position which an instance's log must have.
std::optional<log_index> take_position(std::string& text);

}  // namespace masticgrade::edge_test

#pragma once

#include <boost/json/object.hpp>
#include <string>

namespace masticgrade {

/// Renders a report as indented lines "name: value", without a final newline. Objects that hold
/// only plain values take one line.
std::string render_text(const boost::json::object& document);

}  // namespace masticgrade

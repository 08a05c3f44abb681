#pragma once

#include <boost/json/object.hpp>
#include <string>

namespace masticgrade {

/// Renders a report as indented "name: value" lines without a trailing newline. The scalar fields
/// of an object in a list share one line.
std::string render_text(const boost::json::object& document);

}  // namespace masticgrade

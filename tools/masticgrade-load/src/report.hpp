#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "load_run.hpp"

namespace masticgrade::load {

/// The measures of section 1.3 of the design page and the violations.
boost::json::object make_report(const load_options& options, const run_result& result,
                                const std::vector<std::string>& violations);

std::string format_table(const boost::json::object& report);

}  // namespace masticgrade::load

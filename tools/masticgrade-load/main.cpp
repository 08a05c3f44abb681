#include <algorithm>
#include <iostream>
#include <iterator>

#include "load_run.hpp"
#include "report.hpp"

namespace {

using namespace masticgrade::load;

void check_rates(const load_options& options, const run_result& result,
                 std::vector<std::string>& violations) {
    for (const auto& customer : options.customers) {
        const auto found = result.customers.find(customer.name);
        if (customer.rate > 0 && found != result.customers.end() &&
            largest_excess(found->second.admitted, customer.rate, customer.burst) > 0) {
            violations.push_back(customer.name + " got more than its rate and burst");
        }
    }
}

int run(int argc, const char* const* argv) {
    const auto options = parse_options(argc, argv);
    if (!options) {
        return 0;
    }
    const auto result = run_load(*options);
    auto violations = result.violations;
    std::ranges::move(check_writes(result.writes, fetch_logs(*options), options->run_id + '/'),
                      std::back_inserter(violations));
    check_rates(*options, result, violations);
    const auto report = make_report(*options, result, violations);
    std::cout << (options->json ? boost::json::serialize(report) + '\n' : format_table(report));
    return violations.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& failure) {
        std::cerr << "masticgrade-load: " << failure.what() << '\n';
        return 2;
    }
}

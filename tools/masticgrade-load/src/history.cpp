#include "history.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <set>

namespace masticgrade::load {

namespace json = boost::json;

std::string check_read(const read_expectation& expected, const json::value& result) {
    const auto* fields = result.if_object();
    const auto* key = fields == nullptr ? nullptr : fields->if_contains("key");
    const auto* value = fields == nullptr ? nullptr : fields->if_contains("value");
    if (key == nullptr || value == nullptr || *key != json::value(expected.key)) {
        return fmt::format("the answer belongs to another request: asked for {}, got {}",
                           expected.key, json::serialize(result));
    }
    std::uint64_t number = 0;
    if (const auto* row = value->if_object(); row != nullptr && row->contains("n")) {
        number = row->at("n").to_number<std::uint64_t>();
    }
    if (number < expected.at_least) {
        return fmt::format("read of {} returned {} although {} was acknowledged", expected.key,
                           number, expected.at_least);
    }
    if (number > expected.at_most) {
        return fmt::format("read of {} returned {} although only {} was sent", expected.key, number,
                           expected.at_most);
    }
    return {};
}

namespace {

using runs_of_statement = std::map<std::string, unsigned>;

/// Every statement of a run names a row or a value of its own, so its text identifies it.
std::string identity(const std::string& customer, const json::value& statement) {
    return customer + ' ' + json::serialize(statement);
}

class route_checker {
public:
    route_checker(const json::array& log, const std::string& row_prefix) {
        for (const auto& value : log) {
            add(value.as_object(), row_prefix);
        }
    }

    void check(const write_record& write) {
        for (const auto& statement : write.statements) {
            const auto found = runs_.find(identity(write.customer, statement));
            const auto runs = found == runs_.end() ? 0 : found->second;
            if (runs > 1) {
                report("write {} of {} ran {} times", write.id, write.customer, runs);
            }
            if (write.result == outcome::done && runs == 0) {
                report("write {} of {} was acknowledged but is missing", write.id, write.customer);
            }
            if (write.result == outcome::not_run && runs != 0) {
                report("write {} of {} was refused as not run but ran", write.id, write.customer);
            }
            expected_.insert(identity(write.customer, statement));
        }
        check_entry(write);
    }

    std::vector<std::string> finish() {
        for (const auto& [statement, runs] : runs_) {
            if (!expected_.contains(statement)) {
                report("a statement ran {} times that its customer did not send: {}", runs,
                       statement);
            }
        }
        return std::move(violations_);
    }

private:
    template <class... Args>
    void report(fmt::format_string<Args...> format, Args&&... args) {
        violations_.push_back(fmt::format(format, std::forward<Args>(args)...));
    }

    void add(const json::object& entry, const std::string& row_prefix) {
        const std::string customer(entry.at("customer").as_string());
        const auto& statements = entry.at("statements").as_array();
        for (const auto& statement : statements) {
            if (statement.at("key").as_string().starts_with(row_prefix)) {
                ++runs_[identity(customer, statement)];
            }
        }
        const std::string key(entry.at("idempotency_key").as_string());
        if (!key.empty() && !statements.empty()) {
            entries_[{customer, key}] = &statements;
        }
    }

    /// All statements of one write are in one entry, without any of another.
    void check_entry(const write_record& write) {
        const auto entry = entries_.find({write.customer, write.idempotency_key});
        if (entry != entries_.end() && *entry->second != write.statements) {
            report("write {} of {} is mixed with other statements: {}", write.id, write.customer,
                   json::serialize(*entry->second));
        }
    }

    runs_of_statement runs_;
    std::map<std::pair<std::string, std::string>, const json::array*> entries_;
    std::set<std::string> expected_;
    std::vector<std::string> violations_;
};

}  // namespace

std::vector<std::string> check_writes(const std::vector<write_record>& history,
                                      const std::map<std::string, json::array>& logs,
                                      const std::string& row_prefix) {
    std::map<std::string, route_checker> checkers;
    for (const auto& [route, log] : logs) {
        checkers.try_emplace(route, log, row_prefix);
    }
    for (const auto& write : history) {
        if (const auto checker = checkers.find(write.route); checker != checkers.end()) {
            checker->second.check(write);
        }
    }
    std::vector<std::string> violations;
    for (auto& [route, checker] : checkers) {
        std::ranges::move(checker.finish(), std::back_inserter(violations));
    }
    return violations;
}

double largest_excess(std::vector<admitted_statement> admitted, double rate, double burst) {
    using fractional_seconds = std::chrono::duration<double>;
    double excess = -std::numeric_limits<double>::infinity();
    if (admitted.empty()) {
        return excess;
    }
    std::ranges::sort(admitted, {}, &admitted_statement::sent);
    const auto begin = admitted.front().sent;
    const auto end = std::ranges::max(admitted, {}, &admitted_statement::answered).answered;
    constexpr auto step = milliseconds{100};
    std::vector<duration> lengths{milliseconds{500}, seconds{1}, seconds{5}, seconds{10}};
    lengths.push_back(end - begin);
    for (const auto length : lengths) {
        auto first = admitted.begin();
        for (auto from = begin; from + length <= end; from += step) {
            first = std::find_if(first, admitted.end(),
                                 [&](const auto& statement) { return statement.sent >= from; });
            const auto last = std::find_if(first, admitted.end(), [&](const auto& statement) {
                return statement.sent > from + length;
            });
            const auto count = std::count_if(first, last, [&](const auto& statement) {
                return statement.answered <= from + length;
            });
            const auto allowed = burst + rate * fractional_seconds(length).count();
            excess = std::max(excess, static_cast<double>(count) - allowed);
        }
    }
    return excess;
}

}  // namespace masticgrade::load

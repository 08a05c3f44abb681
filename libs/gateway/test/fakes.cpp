#include "fakes.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace masticgrade::test {

namespace asio = boost::asio;

namespace {

/// Waits for the instance's answer. Throws connection_error at `deadline` if it is later.
asio::awaitable<void> delay_answer(const fake_instance& instance, time_point deadline) {
    if (instance.answer_delay == milliseconds{0}) {
        co_return;
    }
    const auto answers_at = steady_clock::now() + instance.answer_delay;
    const auto name = instance.entry.id.str();
    asio::steady_timer timer{co_await asio::this_coro::executor, std::min(answers_at, deadline)};
    co_await timer.async_wait(asio::use_awaitable);
    if (answers_at > deadline) {
        throw connection_error("answer", name, "too late for the test", true);
    }
}

bool replicate(const fake_instance& primary) {
    for (auto* replica : primary.sync_candidates) {
        if (!replica->is_primary && replica->held == term_number{}) {
            replica->position = std::max(replica->position, primary.position);
            return true;
        }
    }
    return primary.sync_candidates.empty();
}

/// Waits until a replica has received the last commit. Throws connection_error at `deadline`.
asio::awaitable<void> await_replication(const fake_instance& primary, time_point deadline) {
    constexpr milliseconds poll_interval{5};
    const auto name = primary.entry.id.str();
    asio::steady_timer timer{co_await asio::this_coro::executor};
    while (!replicate(primary)) {
        if (steady_clock::now() >= deadline) {
            throw connection_error("answer", name, "not replicated for the test", true);
        }
        timer.expires_after(poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

bool is_write_text(const std::string& text) { return text.rfind("write", 0) == 0; }

}  // namespace

std::size_t fake_instance::runs_of(const std::string& id) const {
    return static_cast<std::size_t>(
        std::count_if(executed.begin(), executed.end(),
                      [&](const auto& statement) { return statement.id.str() == id; }));
}

asio::awaitable<std::vector<statement_answer>> fake_link::run(std::vector<backend_request> requests,
                                                              time_point deadline) {
    co_await delay_answer(instance_, deadline);
    if (instance_.breaks_connections) {
        open_ = false;
        throw connection_error("answer", instance_.entry.id.str(), "broken for the test", true);
    }
    std::vector<statement_answer> answers;
    for (const auto& request : requests) {
        std::string text;
        if (const auto* plain = std::get_if<backend_statement>(&request)) {
            text = plain->text;
        }
        const auto breaks = instance_.breaks_before.find(text);
        if (!text.empty() && breaks != instance_.breaks_before.end()) {
            instance_.breaks_before.erase(breaks);
            open_ = false;
            throw connection_error("answer", instance_.entry.id.str(), "broken for the test", true);
        }
        const auto commits = instance_.commits;
        answers.push_back(answer_one(request));
        if (instance_.commits != commits) {
            co_await await_replication(instance_, deadline);
        }
        if (!text.empty() && instance_.lost_answers.contains(text)) {
            open_ = false;
            throw connection_error("answer", instance_.entry.id.str(), "lost for the test", true);
        }
        if (!text.empty() && instance_.mismatched_answers.contains(text)) {
            open_ = false;
            throw answer_mismatch_error(instance_.entry.id.str(), "repeated for the test", true);
        }
        if (!text.empty() && instance_.unexpected_errors.contains(text)) {
            throw std::runtime_error("unexpected for the test");
        }
    }
    co_return answers;
}

statement_answer fake_link::success(const std::string& text) const {
    statement_answer answer;
    answer.text = text;
    answer.phase = in_transaction_ ? transaction_phase::open : transaction_phase::none;
    answer.position = instance_.end_of_log();
    return answer;
}

statement_answer fake_link::refusal(answer_code code) const {
    auto answer = success("refused");
    answer.code = code;
    if (in_transaction_) {
        answer.phase = transaction_phase::failed;
    }
    return answer;
}

statement_answer fake_link::status() const {
    auto answer = success("-");
    std::ostringstream row;
    row << (instance_.is_primary ? 1 : 0) << ' ' << instance_.term.value() << ' '
        << instance_.position << ' ' << instance_.held.value();
    answer.rows.push_back(row.str());
    return answer;
}

statement_answer fake_link::begin(const backend_begin& request) {
    if (!request.read_only && !instance_.is_primary) {
        return refusal(answer_code::read_only);
    }
    if (request.at_least && instance_.end_of_log() < *request.at_least) {
        return refusal(answer_code::lagging);
    }
    in_transaction_ = true;
    read_write_ = !request.read_only;
    wrote_ = false;
    return success("-");
}

statement_answer fake_link::statement(const statement_id& id, const std::string& text,
                                      const std::optional<log_index>& at_least, bool is_write) {
    if (at_least && instance_.end_of_log() < *at_least) {
        return refusal(answer_code::lagging);
    }
    if ((is_write || (in_transaction_ && read_write_)) && !instance_.is_primary) {
        return refusal(answer_code::read_only);
    }
    instance_.executed.push_back({id, text, values_, at_least, in_transaction_, customer_});
    if (is_write && in_transaction_) {
        wrote_ = true;
    } else if (is_write) {
        ++instance_.position;
        ++instance_.commits;
    }
    return success("signature-" + id.str());
}

statement_answer fake_link::end_transaction(bool commit) {
    if (commit && wrote_) {
        ++instance_.position;
        ++instance_.commits;
    }
    if (!commit) {
        ++instance_.rollbacks;
    }
    in_transaction_ = false;
    return success(commit ? "signature-commit" : "-");
}

statement_answer fake_link::answer_one(const backend_request& request) {
    if (const auto* starting = std::get_if<backend_begin>(&request)) {
        return begin(*starting);
    }
    if (std::holds_alternative<backend_rollback>(request)) {
        return end_transaction(false);
    }
    if (const auto* plain = std::get_if<backend_statement>(&request)) {
        if (plain->text == "commit") {
            instance_.executed.push_back(
                {plain->id, plain->text, values_, {}, in_transaction_, customer_});
            return end_transaction(true);
        }
        return statement(plain->id, plain->text, plain->at_least, is_write_text(plain->text));
    }
    if (const auto* execution = std::get_if<backend_execute>(&request)) {
        const auto known = prepared_.find(execution->name);
        if (known == prepared_.end()) {
            return refusal(answer_code::unknown_prepared);
        }
        return statement(execution->id, known->second.shape + " " + execution->arguments,
                         execution->at_least, known->second.access == access_kind::write);
    }
    if (const auto* set = std::get_if<backend_set>(&request)) {
        values_[set->name] = set->value;
    } else if (const auto* prepare = std::get_if<backend_prepare>(&request)) {
        prepared_[prepare->name] = {prepare->access, prepare->shape};
    } else if (std::holds_alternative<backend_reset>(request)) {
        values_.clear();
        prepared_.clear();
    } else if (const auto* hold = std::get_if<backend_hold>(&request)) {
        if (!instance_.is_primary && hold->term > instance_.term) {
            instance_.held = hold->term;
        }
        return status();
    } else if (std::holds_alternative<backend_resume>(request)) {
        instance_.held = {};
        return status();
    } else if (const auto* down = std::get_if<backend_step_down>(&request)) {
        if (instance_.term < down->term) {
            instance_.is_primary = false;
        }
        return status();
    } else if (instance_.is_busy) {
        return refusal(answer_code::busy);
    } else {
        return status();
    }
    return success("-");
}

log_holder holder_of(const std::string& name, std::int64_t start_time) {
    return {instance_id{name}, endpoint_address{name + ".example:1"}, start_time};
}

fake_instance* fake_connector::find_running(const endpoint_address& address) {
    const auto found = std::find_if(instances_.begin(), instances_.end(), [&](const auto& item) {
        return item.second.entry.address == address && !item.second.refuses_connections;
    });
    return found == instances_.end() ? nullptr : &found->second;
}

fake_instance& fake_connector::find_peer(const instance_entry& entry) {
    auto* running = find_running(entry.address);
    if (running == nullptr) {
        throw connection_error("connect", entry.id.str(), "refused for the test", false);
    }
    if (!entry.id.empty() && running->entry.id != entry.id) {
        throw connection_refused_error(entry.id.str(), answer_code::wrong_instance);
    }
    return *running;
}

fake_instance& fake_connector::add(const std::string& name, bool is_primary) {
    auto& instance = instances_[name];
    instance.entry.id = instance_id{name};
    instance.entry.group = group_id{"ledger"};
    instance.entry.address = endpoint_address{name + ".example:1"};
    instance.entry.slots = 3;
    instance.is_primary = is_primary;
    return instance;
}

std::vector<instance_entry> fake_connector::entries() const {
    std::vector<instance_entry> result;
    for (const auto& [name, instance] : instances_) {
        if (!instance.is_listed) {
            continue;
        }
        result.push_back(instance.entry);
        result.back().claims_primary = instance.is_primary;
    }
    return result;
}

asio::awaitable<instance_connection_ptr> fake_connector::connect(instance_entry instance,
                                                                 customer_id customer,
                                                                 time_point deadline) {
    auto& found = find_peer(instance);
    co_await delay_answer(found, deadline);
    if (found.refuses_connections) {
        throw connection_error("connect", instance.id.str(), "refused for the test", false);
    }
    if (found.at_connection_limit) {
        throw connection_refused_error(instance.id.str(), answer_code::connection_limit);
    }
    if (found.has_other_id) {
        throw connection_refused_error(instance.id.str(), answer_code::wrong_instance);
    }
    ++found.connections;
    co_return std::make_shared<fake_link>(found, std::move(customer));
}

asio::awaitable<bool> fake_connector::is_reachable(endpoint_address address,
                                                   time_point /*deadline*/) {
    for (const auto& [name, instance] : instances_) {
        if (instance.entry.address == address) {
            co_return !instance.refuses_connections && !instance.fails_probes;
        }
    }
    co_return false;
}

asio::awaitable<instance_connection_ptr> partitioned_connector::connect(instance_entry instance,
                                                                        customer_id customer,
                                                                        time_point deadline) {
    if (unreachable_.contains(instance.id.str())) {
        throw connection_error("connect", instance.id.str(), "unreachable for the test", false);
    }
    return instances_.connect(std::move(instance), std::move(customer), deadline);
}

asio::awaitable<bool> partitioned_connector::is_reachable(endpoint_address address,
                                                          time_point deadline) {
    for (const auto& entry : instances_.entries()) {
        if (entry.address == address && unreachable_.contains(entry.id.str())) {
            co_return false;
        }
    }
    co_return co_await instances_.is_reachable(std::move(address), deadline);
}

std::optional<instance_status> fake_connector::read_status(const statement_answer& answer) const {
    if (answer.rows.size() != 1) {
        return std::nullopt;
    }
    std::istringstream row{answer.rows.front()};
    int primary = 0;
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    std::uint64_t held = 0;
    row >> primary >> term >> position >> held;
    return instance_status{primary == 1, term_number{term},
                           log_index{term_number{term}, log_position{position}}, term_number{held}};
}

asio::awaitable<std::optional<session_request>> fake_caller::open(time_point /*deadline*/) {
    co_return request_;
}

asio::awaitable<void> fake_caller::accept() { co_return; }

asio::awaitable<void> fake_caller::refuse(answer_code code, std::string /*text*/) {
    refused = code;
    co_return;
}

asio::awaitable<std::optional<caller_statement>> fake_caller::next() {
    if (closed || statements_.empty()) {
        co_return std::nullopt;
    }
    const auto action = before.find(sent_);
    if (action != before.end()) {
        const auto call = std::move(action->second);
        before.erase(action);
        call();
    }
    if (!std::exchange(waits_, true) && !pipelines) {
        co_return std::nullopt;
    }
    const auto received = on_received.find(sent_);
    ++sent_;
    auto statement = std::move(statements_.front());
    statements_.pop_front();
    if (received != on_received.end()) {
        received->second();
    }
    co_return std::move(statement);
}

asio::awaitable<void> fake_caller::answer(const statement_answer& answer) {
    if (closed) {
        throw connection_error("answer caller", "", "the connection is closed", true);
    }
    answers.push_back(answer);
    co_return;
}

asio::awaitable<scan_result> fake_store::scan(std::string prefix, fleet_version /*modified_after*/,
                                              time_point /*deadline*/) {
    on_scan();
    fail_if_requested();
    scan_result result;
    result.version = fleet_version{version_};
    result.era = era_;
    for (const auto& [key, row] : rows_) {
        if (key.rfind(prefix, 0) == 0) {
            result.rows.push_back(row);
        }
    }
    co_return result;
}

asio::awaitable<commit_result> fake_store::commit(table_commit change, time_point /*deadline*/) {
    on_commit(change);
    fail_if_requested();
    commit_result result;
    result.era = era_;
    for (const auto& condition : change.conditions) {
        const auto found = rows_.find(condition.key);
        const auto present = found == rows_.end() ? fleet_version{} : found->second.version;
        if (present != condition.version) {
            co_return result;
        }
    }
    for (const auto& item : change.puts) {
        put(item.key, item.value);
    }
    if (answers_to_lose > 0) {
        --answers_to_lose;
        throw error("commit", "store", "the answer is lost for the test");
    }
    result.committed = true;
    result.version = fleet_version{version_};
    co_return result;
}

asio::awaitable<std::vector<platform_host>> fake_store::list_hosts(time_point /*deadline*/) {
    co_return std::vector<platform_host>{};
}

void fake_store::fail_if_requested() {
    if (failures > 0) {
        --failures;
        throw error("call", "store", "unavailable for the test");
    }
}

void fake_store::copy() {
    copied_rows_ = rows_;
    copied_version_ = version_;
}

void fake_store::restore() {
    rows_ = copied_rows_;
    version_ = copied_version_;
    era_ = era_.next();
}

void fake_store::put(const std::string& key, const std::string& value) {
    rows_[key] = {key, fleet_version{++version_}, value};
}

std::string fake_store::value_of(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? std::string{} : found->second.value;
}

asio::awaitable<promotion_outcome> fake_promotions::promote(group_id /*group*/, instance_id target,
                                                            std::uint64_t fence,
                                                            time_point /*deadline*/) {
    const order call{target, fence};
    orders.push_back(call);
    on_promote();
    if (!outcomes.empty()) {
        const auto outcome = outcomes.front();
        outcomes.pop_front();
        if (outcome == promotion_outcome::unknown) {
            asio::steady_timer timer{co_await asio::this_coro::executor, unknown_after};
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (outcome != promotion_outcome::done) {
            co_return outcome;
        }
    }
    co_return carry_out(call);
}

promotion_outcome fake_promotions::carry_out(const order& call) {
    if (call.fence < newest_fence_) {
        return promotion_outcome::refused;
    }
    newest_fence_ = call.fence;
    if (!instances_.is_running(call.target.str())) {
        return promotion_outcome::refused;
    }
    auto& instance = instances_.at(call.target.str());
    if (!instance.is_primary) {
        instance.is_primary = true;
        instance.held = {};
        instance.term = instance.term.next();
    }
    return promotion_outcome::done;
}

caller_statement make_statement(const std::string& id, const std::string& text,
                                statement_action action) {
    return {statement_id{id}, text, std::move(action)};
}

}  // namespace masticgrade::test

#include "soak_caller.hpp"

#include <array>
#include <chrono>
#include <iostream>
#include <optional>
#include <random>

#include "line_client.hpp"

namespace masticgrade::soak {

using edge_test::is_done;
using edge_test::line_client;

namespace {

/// Codes that promise that nothing of the attempt is kept.
bool is_promise(const std::string& line) {
    for (const auto* code :
         {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT", "UNAUTH"}) {
        if (line.rfind(std::string{"ERROR "} + code, 0) == 0) {
            return true;
        }
    }
    return false;
}

std::string first_line(const std::vector<std::string>& answer) {
    return answer.empty() ? "no answer" : answer.front();
}

constexpr std::chrono::milliseconds reconnect_pause{50};

}  // namespace

/// A session on one of the hosts, opened when it is needed and again after it ended.
class soak_caller::session {
public:
    session(const caller_settings& settings, std::string database)
        : settings_(settings), database_(std::move(database)) {}

    /// Nothing when no host opened the session.
    line_client* open(std::size_t host) {
        if (!client_) {
            try {
                context_.clear();
                host_ = host % settings_.hosts;
                client_.emplace(settings_.port(host_));
                if (client_->start(database_, settings_.key).rfind("READY", 0) != 0) {
                    client_.reset();
                }
            } catch (const boost::system::system_error&) {
                client_.reset();
            }
        }
        return client_ ? &*client_ : nullptr;
    }

    std::vector<std::string> query(const std::string& id, const std::string& text) {
        auto answer = client_->query(id, text);
        if (answer.empty() || answer.back().rfind("READY", 0) != 0) {
            client_.reset();
        }
        return answer;
    }
    [[nodiscard]] bool is_open() const { return client_.has_value(); }
    void close() { client_.reset(); }
    /// The host at which it was opened last.
    [[nodiscard]] std::size_t host() const { return host_; }
    /// The value that this session has set; empty before.
    [[nodiscard]] const std::string& context() const { return context_; }
    void set_context(std::string value) { context_ = std::move(value); }

private:
    const caller_settings& settings_;
    std::string database_;
    std::string context_;
    std::size_t host_ = 0;
    std::optional<line_client> client_;
};

soak_caller::soak_caller(caller_settings settings)
    : settings_(std::move(settings)), thread_([this] { run(); }) {}

soak_caller::~soak_caller() {
    stop();
    thread_.join();
}

std::vector<std::string> soak_caller::violations() const {
    const std::scoped_lock lock{mutex_};
    return violations_;
}

void soak_caller::report(const std::string& fault) {
    const std::scoped_lock lock{mutex_};
    std::cerr << "violation: " << settings_.name << ": " << fault << std::endl;
    violations_.push_back(settings_.name + ": " + fault);
}

std::string soak_caller::next_id_in(std::size_t transaction) {
    return settings_.name + "-t" + std::to_string(transaction) + "-" + std::to_string(++last_id_);
}

std::vector<std::string> soak_caller::run_statement(session& connection, const std::string& id,
                                                    const std::string& text) {
    settings_.sent->add(id, {text, connection.context()});
    auto answer = connection.query(id, text);
    if (is_done(answer)) {
        const bool touches_data = text == "COMMIT" || text.rfind("READ ", 0) == 0 ||
                                  text.rfind("WRITE ", 0) == 0 || text.rfind("EXECUTE ", 0) == 0;
        const auto expected = "COMPLETE " + (touches_data ? "sig-" + id : "-");
        const std::size_t lines = text.rfind("READ ", 0) == 0 ? 3 : 2;
        if (answer[answer.size() - 2] != expected || answer.size() != lines) {
            report("MIXED: answer to another statement: " + answer[answer.size() - 2] + " with " +
                   std::to_string(answer.size()) + " lines for " + id + " " + text);
        }
    }
    return answer;
}

bool soak_caller::prepare_session(session& connection) {
    if (!settings_.uses_context || !connection.context().empty()) {
        return true;
    }
    const auto value = settings_.name + "-s" + std::to_string(++last_session_);
    if (!is_done(run_statement(connection, next_id(), "SET owner " + value)) ||
        !connection.is_open() ||
        !is_done(run_statement(connection, next_id(), "PREPARE put WRITE " + value)) ||
        !connection.is_open()) {
        connection.close();
        return false;
    }
    connection.set_context(value);
    return true;
}

std::string soak_caller::next_id() { return settings_.name + "-" + std::to_string(++last_id_); }

void soak_caller::run() {
    std::mt19937_64 random{settings_.seed};
    const std::string current = "db-primary";
    const std::string own = "db-read_own";
    session writer{settings_, own};
    session reader{settings_, current};
    while (!stopping_) {
        auto& connection = random() % 3 == 0 ? reader : writer;
        if (connection.open(random()) == nullptr ||
            (&connection == &writer && !prepare_session(connection))) {
            std::this_thread::sleep_for(reconnect_pause);
            continue;
        }
        const auto kind = random() % 10;
        if (kind < 4) {
            write(connection, kind == 0);
        } else {
            read(connection, &connection == &reader ? current : own);
        }
        if (random() % 50 == 0) {
            connection.close();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{settings_.pause_ms});
    }
}

void soak_caller::write(session& connection, bool in_transaction) {
    if (in_transaction) {
        write_in_transaction(connection);
        return;
    }
    const int number = ++last_number_;
    const auto* verb = connection.context().empty() || number % 2 == 0 ? "WRITE " : "EXECUTE put ";
    const auto id = next_id();
    const auto answer =
        run_statement(connection, id, verb + settings_.name + " " + std::to_string(number));
    on_written(connection, {number}, {id}, answer);
}

void soak_caller::write_in_transaction(session& connection) {
    const auto transaction = last_id_;
    std::vector<int> numbers;
    std::vector<std::string> ids;
    auto answer = run_statement(connection, next_id(), "BEGIN");
    const std::size_t writes = settings_.uses_context ? 3 : 1;
    while (is_done(answer) && connection.is_open() && ids.size() < writes) {
        numbers.push_back(++last_number_);
        ids.push_back(next_id_in(transaction));
        answer = run_statement(connection, ids.back(),
                               "WRITE " + settings_.name + " " + std::to_string(numbers.back()));
        if (settings_.uses_context) {
            std::this_thread::sleep_for(std::chrono::milliseconds{settings_.pause_ms});
        }
    }
    if (is_done(answer) && connection.is_open()) {
        on_written(connection, numbers, ids,
                   run_statement(connection, next_id_in(transaction), "COMMIT"));
        return;
    }
    // Without a commit nothing of the transaction may be kept.
    refused_numbers_.insert(numbers.begin(), numbers.end());
    if (connection.is_open()) {
        run_statement(connection, next_id(), "ROLLBACK");
    }
    ++refused_;
}

void soak_caller::on_written(const session& connection, const std::vector<int>& numbers,
                             const std::vector<std::string>& ids,
                             const std::vector<std::string>& answer) {
    if (is_done(answer)) {
        acknowledged_ = numbers.back();
        ++served_;
        for (const auto& id : ids) {
            settings_.sent->acknowledge(id, connection.host());
        }
    } else {
        ++refused_;
        auto& kept_apart = is_promise(first_line(answer)) ? refused_numbers_ : open_numbers_;
        kept_apart.insert(numbers.begin(), numbers.end());
    }
}

void soak_caller::read(session& connection, const std::string& database) {
    const int acknowledged = acknowledged_;
    const auto id = next_id();
    const auto answer = run_statement(connection, id, "READ " + settings_.name);
    if (!is_done(answer) || answer.size() != 3) {
        ++refused_;
        return;
    }
    ++served_;
    if (answer[1] != "COMPLETE sig-" + id) {
        return;
    }
    const auto value = answer.front().substr(std::string{"DATAROW "}.size());
    const int number = value == "none" ? 0 : std::stoi(value);
    if (refused_numbers_.contains(number)) {
        report("write " + value + " was refused and is kept, read on " + database + " by " + id);
    }
    if (database == "db-primary" && number < acknowledged && !open_numbers_.contains(number)) {
        report("write " + std::to_string(acknowledged) + " was acknowledged, " + id + " reads " +
               value + " on " + database);
    }
}

}  // namespace masticgrade::soak

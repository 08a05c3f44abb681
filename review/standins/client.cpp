#include "client.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace review {

namespace {

constexpr int connect_timeout_ms = 1000;
constexpr int start_timeout_ms = 2000;
/// The `max-staleness-ms` of the stand-in's routes.
constexpr milliseconds bounded_staleness{1500};
constexpr milliseconds read_own_staleness{2500};

bool is_promise(const std::string& code) {
    constexpr std::array promises{"BUSY",     "ABORTED",   "LAGGING",
                                  "READONLY", "WRONGNODE", "CONNLIMIT"};
    return std::find(promises.begin(), promises.end(), code) != promises.end();
}

}  // namespace

client::client(ledger& notes, std::string name, const std::string& tenant_name)
    : notes_(notes), name_(std::move(name)) {
    notes_.add_client(name_, tenant_name);
}

client::~client() { disconnect(); }

void client::disconnect() {
    if (attempt_) {
        end_attempt();
    }
    in_transaction_ = false;
    values_.clear();
    prepared_.clear();
    socket_.close();
}

bool client::is_write(const std::string& text) const {
    if (text.rfind("EXECUTE ", 0) == 0) {
        const auto known = prepared_.find(text.substr(8, text.find(' ', 8) - 8));
        return known != prepared_.end() && known->second.rfind("WRITE", 0) == 0;
    }
    return text.rfind("WRITE ", 0) == 0;
}

void client::expect(const std::string& id, const std::string& text) {
    ledger::expectation expected;
    expected.values = values_;
    if (text.rfind("EXECUTE ", 0) == 0) {
        const auto known = prepared_.find(text.substr(8, text.find(' ', 8) - 8));
        expected.prepared = known == prepared_.end() ? std::string{} : known->second;
    }
    expected.first_byte = in_transaction_ ? transaction_began_ : steady::now();
    if (database_ != "db-primary") {
        expected.max_staleness = database_ == "db-bounded" ? bounded_staleness : read_own_staleness;
    }
    expected.session = session_;
    expected.sees_own_commits = database_ == "db-read_own";
    notes_.expect(id, expected);
}

void client::apply_context(const std::string& text) {
    const auto space = text.find(' ', text.find(' ') + 1);
    const auto name = text.substr(text.find(' ') + 1, space - text.find(' ') - 1);
    if (text.rfind("SET ", 0) == 0) {
        values_[name] = text.substr(space + 1);
    } else if (text.rfind("PREPARE ", 0) == 0) {
        prepared_[name] = text.substr(space + 1);
    } else if (text.rfind("DEALLOC ", 0) == 0) {
        prepared_.erase(name);
    }
}

bool client::start(std::uint16_t port, const std::string& database, const std::string& key) {
    disconnect();
    database_ = database;
    ++session_;
    socket_ = stream_socket::connect(port, connect_timeout_ms);
    if (!socket_.is_open() || !socket_.write_all("START " + database + " " + key + "\r\n")) {
        return false;
    }
    const auto line = socket_.read_line(start_timeout_ms);
    return line && line->rfind("READY", 0) == 0;
}

client_answer client::query(const std::string& text, int timeout_ms) {
    ++sent_;
    const auto id = last_id();
    notes_.on_sent(name_, id, text);
    const bool writes = is_write(text);
    expect(id, text);
    if (text == "BEGIN" || text == "BEGIN READ") {
        in_transaction_ = true;
        transaction_began_ = steady::now();
        attempt_ = ledger::attempt{name_, session_, {}, false, false, false};
    } else if (writes) {
        if (!in_transaction_) {
            attempt_ = ledger::attempt{name_, session_, {}, true, false, false};
        }
        attempt_->writes.push_back(id);
    } else if (text == "COMMIT" && attempt_) {
        attempt_->commit_sent = true;
    }
    client_answer result;
    bool timed_out = false;
    if (socket_.is_open() && socket_.write_all("QUERY " + id + " " + text + "\r\n")) {
        while (auto line = socket_.read_line(timeout_ms)) {
            if (line->rfind("DATAROW ", 0) == 0) {
                result.rows.push_back(line->substr(8));
            } else if (line->rfind("COMPLETE ", 0) == 0) {
                result.code = "DONE";
                result.signature = line->substr(9);
            } else if (line->rfind("ERROR ", 0) == 0) {
                result.code = line->substr(6, line->find(' ', 6) - 6);
            } else if (line->rfind("READY ", 0) == 0) {
                result.state = line->substr(6, 1);
                break;
            }
        }
        if (result.state.empty()) {
            result.code = "NONE";
            // An answer that came later would be taken for that of the next statement.
            timed_out = !socket_.has_ended();
        }
    }
    result.connection_ended = !socket_.is_open() || socket_.has_ended() || timed_out;
    on_answer(id, text, result);
    if (timed_out) {
        socket_.close();
    }
    return result;
}

void client::on_answer(const std::string& id, const std::string& text,
                       const client_answer& answer) {
    std::string rows;
    for (const auto& row : answer.rows) {
        rows += " row=" + row;
    }
    notes_.write(name_ + " gets " + id + " " + answer.code + " " + answer.signature + rows +
                 (answer.connection_ended ? " connection ended" : "") + " state " + answer.state);
    if (answer.done()) {
        apply_context(text);
    }
    const bool runs = text == "COMMIT" || text.rfind("WRITE ", 0) == 0 ||
                      text.rfind("READ ", 0) == 0 || text.rfind("EXECUTE ", 0) == 0;
    if (runs && answer.done() && answer.signature != "sig." + id) {
        notes_.report("MIXED",
                      "statement " + id + " got a success with signature " + answer.signature);
    }
    if (!attempt_) {
        return;
    }
    const bool ends = !in_transaction_ || text == "COMMIT" || text == "ROLLBACK";
    attempt_->promised = attempt_->promised || is_promise(answer.code);
    if (ends && attempt_->commit_sent) {
        attempt_->acknowledged = answer.done();
    }
    if (ends || answer.connection_ended) {
        end_attempt();
    }
}

void client::end_attempt() {
    notes_.on_attempt_ended(*attempt_);
    attempt_.reset();
    in_transaction_ = false;
}

}  // namespace review

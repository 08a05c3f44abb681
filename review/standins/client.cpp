#include "client.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace review {

namespace {

constexpr int connect_timeout_ms = 1000;
constexpr int start_timeout_ms = 2000;

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
    socket_.close();
}

bool client::start(std::uint16_t port, const std::string& database, const std::string& key) {
    disconnect();
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
    const bool writes = text.rfind("WRITE ", 0) == 0;
    if (text == "BEGIN") {
        in_transaction_ = true;
        attempt_ = ledger::attempt{name_, {}, false, false, false};
    } else if (writes) {
        if (!in_transaction_) {
            attempt_ = ledger::attempt{name_, {}, true, false, false};
        }
        attempt_->writes.push_back(id);
    } else if (text == "COMMIT" && attempt_) {
        attempt_->commit_sent = true;
    }
    client_answer result;
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
        }
    }
    result.connection_ended = !socket_.is_open() || socket_.has_ended();
    on_answer(id, text, result);
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
    const bool runs =
        text == "COMMIT" || text.rfind("WRITE ", 0) == 0 || text.rfind("READ ", 0) == 0;
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

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger.hpp"
#include "socket_io.hpp"

namespace review {

struct client_answer {
    /// "DONE", an error code, or "NONE" when the connection ended or the time was up first.
    std::string code = "NONE";
    std::string signature;
    std::vector<std::string> rows;
    /// "I", "T" or "E".
    std::string state;
    bool connection_ended = false;

    [[nodiscard]] bool done() const { return code == "DONE"; }
};

/// One session. Notes what it sends and is answered, and its operations. Thread safety: none.
class client {
public:
    client(ledger& notes, std::string name, const std::string& tenant_name);
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client();

    /// Opens a session. Returns whether the answer was READY.
    bool start(std::uint16_t port, const std::string& database, const std::string& key);
    client_answer query(const std::string& text, int timeout_ms = 5000);
    void disconnect();
    /// Whether the host has closed the idle session.
    [[nodiscard]] bool has_ended() const {
        return !socket_.is_open() || socket_.is_closed_by_peer();
    }
    [[nodiscard]] const std::string& name() const { return name_; }
    /// Id of the statement sent last.
    [[nodiscard]] std::string last_id() const { return name_ + "-" + std::to_string(sent_); }

private:
    void on_answer(const std::string& id, const std::string& text, const client_answer& answer);
    void end_attempt();
    void expect(const std::string& id, const std::string& text);
    void apply_context(const std::string& text);
    [[nodiscard]] bool is_write(const std::string& text) const;

    ledger& notes_;
    std::string name_;
    stream_socket socket_;
    unsigned sent_ = 0;
    unsigned session_ = 0;
    bool in_transaction_ = false;
    std::optional<ledger::attempt> attempt_;
    std::string database_;
    std::map<std::string, std::string> values_;
    /// Kind and shape of each prepared name.
    std::map<std::string, std::string> prepared_;
    steady::time_point transaction_began_;
};

}  // namespace review

#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins of the platform, its instances and its callers for the cases of this review. Each
/// connection has a thread; one mutex guards the model.
namespace review {

namespace json = boost::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void sleep_ms(int ms) { std::this_thread::sleep_for(milliseconds{ms}); }

/// Writes a line with the time since the start to record.txt and to standard output.
class record_file {
public:
    explicit record_file(const std::string& path) : out_(path) {}
    void write(const std::string& line) {
        const std::lock_guard lock{mutex_};
        const auto ms = std::chrono::duration_cast<milliseconds>(steady::now() - started_).count();
        out_ << ms << " ms " << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady::time_point started_ = steady::now();
};

/// The record of the run; set by `run_case` before anything else runs.
inline record_file*& shared_record() {
    static record_file* record = nullptr;
    return record;
}

/// Values are cut in the record.
inline std::string shortened(const std::string& text) {
    constexpr std::size_t limit = 60;
    return text.size() <= limit
               ? text
               : text.substr(0, limit) + "... " + std::to_string(text.size()) + " bytes";
}

/// Reads and writes lines that end with CR LF.
class line_socket {
public:
    explicit line_socket(int fd) : fd_(fd) {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    line_socket(const line_socket&) = delete;
    line_socket& operator=(const line_socket&) = delete;
    ~line_socket() { ::close(fd_); }

    static std::unique_ptr<line_socket> connect(unsigned short port) {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<line_socket>(fd);
    }

    void set_timeout(milliseconds timeout) {
        timeval value{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
    }

    std::optional<std::string> read_line() {
        for (;;) {
            if (const auto end = buffer_.find("\r\n"); end != std::string::npos) {
                auto line = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return line;
            }
            if (!fill()) {
                return std::nullopt;
            }
        }
    }

    std::optional<std::string> read_bytes(std::size_t count) {
        while (buffer_.size() < count) {
            if (!fill()) {
                return std::nullopt;
            }
        }
        auto bytes = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return bytes;
    }

    bool write(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    void shut_down() { ::shutdown(fd_, SHUT_RDWR); }

private:
    bool fill() {
        char chunk[65536];
        const auto count = ::recv(fd_, chunk, sizeof chunk, 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(chunk, static_cast<std::size_t>(count));
        return true;
    }

    int fd_;
    std::string buffer_;
};

/// A free port below the range that the kernel assigns to outgoing connections. No port is returned
/// twice.
inline unsigned short free_port() {
    constexpr unsigned first = 15000;
    constexpr unsigned count = 15000;
    static std::mutex mutex;
    static unsigned next = static_cast<unsigned>(::getpid()) * 37U % count;
    const std::lock_guard lock{mutex};
    for (;;) {
        next = (next + 1) % count;
        const auto port = static_cast<unsigned short>(first + next);
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool is_free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (is_free) {
            return port;
        }
    }
}

/// Listens on a free loopback port and serves each connection in a thread of its own.
class line_server {
public:
    using handler = std::function<void(line_socket&)>;
    explicit line_server(handler serve) : serve_(std::move(serve)) {
        fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(free_port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            ::listen(fd_, 512) != 0) {
            throw std::runtime_error("cannot listen");
        }
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this, fd = fd_] { accept(fd); }).detach();
    }
    [[nodiscard]] unsigned short port() const { return port_; }

    /// Refuses connections from now on.
    void close() {
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
    }
    /// Listens again on the same port.
    void reopen() {
        fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port_);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(fd_, 512) != 0) {
            throw std::runtime_error("cannot listen again");
        }
        std::thread([this, fd = fd_] { accept(fd); }).detach();
    }

private:
    void accept(int listener) {
        for (;;) {
            const int fd = ::accept(listener, nullptr, nullptr);
            if (fd < 0) {
                return;
            }
            std::thread([this, fd] {
                line_socket socket{fd};
                serve_(socket);
            }).detach();
        }
    }

    handler serve_;
    int fd_ = -1;
    unsigned short port_ = 0;
};

inline std::string base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group =
                group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (int j = 0; j < 4; ++j) {
            text += i + static_cast<std::size_t>(j) <= bytes.size()
                        ? digits[group >> (18 - 6 * j) & 63]
                        : '=';
        }
    }
    return text;
}

struct position {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    friend auto operator<=>(const position&, const position&) = default;
    [[nodiscard]] std::string text() const {
        return std::to_string(term) + "." + std::to_string(number);
    }
    static position parse(const std::string& text) {
        const auto dot = text.find('.');
        return {std::stoull(text.substr(0, dot)), std::stoull(text.substr(dot + 1))};
    }
};

struct log_entry {
    position at;
    std::string statement;
    std::vector<std::pair<std::string, std::string>> writes;
};

struct instance {
    std::string id;
    std::string service;
    std::string zone;
    std::unique_ptr<line_server> server;
    bool primary = false;
    bool up = true;
    /// Receives nothing from the primary.
    bool deaf = false;
    /// Answers nothing, as a machine without power.
    bool dark = false;
    /// The term of the PAUSE in force.
    std::uint64_t held = 0;
    std::uint64_t term = 1;
    std::uint64_t sequence = 1;
    steady::time_point crashed_at;
    /// The first heartbeat reaches the store at this time.
    steady::time_point listed_from;
    std::int64_t born = 0;
    std::vector<log_entry> log;
    std::vector<line_socket*> connections;

    /// The log goes on in a new term with the next number.
    [[nodiscard]] position end() const { return {term, log.empty() ? 0 : log.back().at.number}; }
    [[nodiscard]] bool has(const position& at) const {
        return std::any_of(log.begin(), log.end(), [&](const auto& e) { return e.at == at; });
    }
};

/// One run of a caller's statement on an instance.
struct run {
    std::string statement;
    std::string instance_id;
    std::string service;
    /// The end of the log on which it ran.
    position end;
    /// The customer of the connection and its session values.
    std::string tenant;
    std::map<std::string, std::string> values;
};

class world {
public:
    explicit world(record_file& record) : record_(record) {
        store_ = std::make_unique<line_server>([this](line_socket& s) { serve_http(s); });
        std::thread([this] { heartbeat(); }).detach();
    }

    [[nodiscard]] unsigned short store_port() const { return store_->port(); }

    instance& add(const std::string& id, const std::string& service, const std::string& zone,
                  bool primary, milliseconds unlisted = milliseconds{0}) {
        const std::lock_guard lock{mutex_};
        auto item = std::make_unique<instance>();
        auto* added = item.get();
        item->id = id;
        item->service = service;
        item->zone = zone;
        item->primary = primary;
        item->born = now_ms();
        item->server = std::make_unique<line_server>(
            [this, added](line_socket& s) { serve_instance(*added, s); });
        added->listed_from = steady::now() + unlisted;
        instances_.push_back(std::move(item));
        if (unlisted == milliseconds{0}) {
            publish(*added);
        }
        for (const auto& other : instances_) {
            if (other->service == service && other->primary) {
                added->term = other->term;
            }
        }
        replicate();
        return *added;
    }

    void put_config(const json::value& config) {
        const std::lock_guard lock{mutex_};
        put_row("op", "config", json::serialize(config));
        record_.write("operator: op/config " + json::serialize(config.at("version")));
    }

    void set_deaf(instance& item, bool deaf) {
        const std::lock_guard lock{mutex_};
        item.deaf = deaf;
        record_.write("disruption: " + item.id + (deaf ? " receives nothing" : " receives again"));
        replicate();
        changed_.notify_all();
    }

    void set_dark(instance& item, bool dark) {
        const std::lock_guard lock{mutex_};
        item.dark = dark;
        record_.write("disruption: " + item.id + (dark ? " goes dark" : " answers again"));
        changed_.notify_all();
    }

    /// The process ends and keeps its log. Its entry goes after three heartbeats.
    void crash(instance& item) {
        const std::lock_guard lock{mutex_};
        item.up = false;
        item.crashed_at = steady::now();
        item.server->close();
        for (auto* socket : item.connections) {
            socket->shut_down();
        }
        record_.write("disruption: " + item.id + " crashes, log ends at " + item.end().text());
        changed_.notify_all();
    }

    /// The process starts again with its log, as a replica if another instance leads.
    void restart(instance& item) {
        const std::lock_guard lock{mutex_};
        item.up = true;
        item.held = 0;
        item.born = now_ms();
        item.sequence = 1;
        for (const auto& other : instances_) {
            if (other->service == item.service && other.get() != &item && other->primary &&
                other->term > item.term) {
                item.primary = false;
            }
        }
        item.server->reopen();
        follow(item);
        replicate();
        publish(item);
        record_.write(item.id + " is back, log ends at " + item.end().text());
        changed_.notify_all();
    }

    /// The promotions that took effect: the instance and the end of its log.
    std::vector<std::pair<std::string, position>> promotions() {
        const std::lock_guard lock{mutex_};
        return promotions_;
    }

    [[nodiscard]] bool has_commit(const instance& item, const std::string& statement) {
        const std::lock_guard lock{mutex_};
        return std::any_of(item.log.begin(), item.log.end(),
                           [&](const auto& entry) { return entry.statement == statement; });
    }

    std::vector<run> runs_of(const std::string& statement) {
        const std::lock_guard lock{mutex_};
        std::vector<run> result;
        for (const auto& item : runs_) {
            if (item.statement == statement) {
                result.push_back(item);
            }
        }
        return result;
    }

    /// Where the commit of the statement stands in its service's log.
    std::optional<position> commit_of(const std::string& statement) {
        const std::lock_guard lock{mutex_};
        for (const auto& item : instances_) {
            for (const auto& entry : item->log) {
                if (entry.statement == statement) {
                    return entry.at;
                }
            }
        }
        return std::nullopt;
    }

private:
    static std::int64_t now_ms() {
        return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    /// Drops what the leader's log does not have.
    void follow(instance& item) {
        for (const auto& leader : instances_) {
            if (leader->service == item.service && leader->primary && leader->up &&
                leader.get() != &item && leader->term > item.term) {
                std::size_t common = 0;
                while (common < item.log.size() && common < leader->log.size() &&
                       item.log[common].at == leader->log[common].at) {
                    ++common;
                }
                item.log.resize(common);
                item.term = leader->term;
            }
        }
    }

    void heartbeat() {
        for (;;) {
            sleep_ms(1200);
            const std::lock_guard lock{mutex_};
            for (auto& item : instances_) {
                if (item->up && steady::now() >= item->listed_from) {
                    ++item->sequence;
                    publish(*item);
                } else if (!item->up && steady::now() - item->crashed_at > milliseconds{3600}) {
                    rows_.erase({"servers", item->id});
                }
            }
        }
    }

    void publish(const instance& item) {
        put_row("servers", item.id,
                json::serialize(
                    json::object{{"service", item.service},
                                 {"address", "127.0.0.1:" + std::to_string(item.server->port())},
                                 {"zone", item.zone},
                                 {"version", "v1"},
                                 {"slots", 3},
                                 {"state", "ready"},
                                 {"warmup-left-ms", 0},
                                 {"db-role", item.primary ? "primary" : "replica"},
                                 {"sequence", item.sequence},
                                 {"born", item.born}}));
    }

    void put_row(const std::string& table, const std::string& key, const std::string& value) {
        rows_[{table, key}] = {base64(value), ++version_};
    }

    // The platform's store and the promotion call.

    void serve_http(line_socket& socket) {
        for (;;) {
            const auto request = socket.read_line();
            if (!request) {
                return;
            }
            std::size_t length = 0;
            std::string holder;
            std::uint64_t fence = 0;
            for (;;) {
                auto header = socket.read_line();
                if (!header) {
                    return;
                }
                if (header->empty()) {
                    break;
                }
                auto name = header->substr(0, header->find(':'));
                const auto value = header->substr(name.size() + 1);
                std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                if (name == "content-length") {
                    length = std::stoul(value);
                } else if (name == "x-masticgrade-duty-holder") {
                    holder = value;
                } else if (name == "x-masticgrade-fence-token") {
                    fence = std::stoull(value);
                }
            }
            const auto body = socket.read_bytes(length);
            if (!body) {
                return;
            }
            std::istringstream words{*request};
            std::string method;
            std::string target;
            words >> method >> target;
            int status = 200;
            const auto answer = json::serialize(answer_http(target, *body, holder, fence, status));
            if (!socket.write("HTTP/1.1 " + std::to_string(status) +
                              " X\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(answer.size()) + "\r\n\r\n" + answer)) {
                return;
            }
        }
    }

    static std::string decode_url(const std::string& text) {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }

    int promote(const std::string& body, const std::string& holder, std::uint64_t fence) {
        const auto call = json::parse(body).as_object();
        const std::string service{call.at("service").as_string()};
        const std::string id{call.at("id").as_string()};
        auto& seen = fences_[service];
        const auto target =
            std::find_if(instances_.begin(), instances_.end(), [&](const auto& item) {
                return item->id == id && item->service == service && item->up;
            });
        const bool refused = fence < seen || target == instances_.end();
        seen = std::max(seen, fence);
        record_.write("platform: promote " + id + " by" + holder + ", fence " +
                      std::to_string(fence) + (refused ? ", 409" : ", 200"));
        if (refused) {
            return 409;
        }
        if (!(*target)->primary) {
            std::thread([this, item = target->get(), fence] {
                sleep_ms(300);
                const std::lock_guard lock{mutex_};
                if (item->up && fences_[item->service] == fence) {
                    lead(*item);
                }
            }).detach();
        }
        return 200;
    }

    void lead(instance& item) {
        promotions_.emplace_back(item.id, item.end());
        record_.write("platform: " + item.id + " leads, log ends at " + item.end().text());
        std::uint64_t term = 0;
        for (const auto& other : instances_) {
            if (other->service == item.service) {
                term = std::max(term, other->term);
            }
        }
        item.primary = true;
        item.held = 0;
        item.term = term + 1;
        for (auto& other : instances_) {
            if (other->service == item.service && other.get() != &item && other->up) {
                other->primary = false;
                other->held = 0;
                follow(*other);
                publish(*other);
            }
        }
        publish(item);
        replicate();
        changed_.notify_all();
    }

    json::object answer_http(const std::string& target, const std::string& body,
                             const std::string& holder, std::uint64_t fence, int& status) {
        sleep_ms(4);
        const std::lock_guard lock{mutex_};
        json::object answer;
        if (target.starts_with("/rows-get")) {
            std::map<std::string, std::string> query;
            std::istringstream fields{target.substr(target.find('?') + 1)};
            for (std::string field; std::getline(fields, field, '&');) {
                const auto equals = field.find('=');
                query[field.substr(0, equals)] = decode_url(field.substr(equals + 1));
            }
            json::array rows;
            for (const auto& [name, row] : rows_) {
                if (name.first == query["table"] && name.second >= query["from"] &&
                    (query["to"].empty() || name.second < query["to"])) {
                    rows.push_back(json::object{{"table", name.first},
                                                {"part", ""},
                                                {"key", name.second},
                                                {"value", row.first},
                                                {"row-version", row.second}});
                }
            }
            answer["rows"] = std::move(rows);
            answer["has-more"] = false;
        } else if (target == "/rows-tx") {
            const auto call = json::parse(body).as_object();
            for (const auto& condition : call.at("precondition").as_array()) {
                const auto found = rows_.find(name_of(condition));
                const std::uint64_t present = found == rows_.end() ? 0 : found->second.second;
                if (condition.at("row-version").to_number<std::uint64_t>() != present) {
                    status = 412;
                }
            }
            if (status == 200) {
                ++version_;
                for (const auto& put : call.at("put").as_array()) {
                    rows_[name_of(put)] = {std::string{put.at("value").as_string()}, version_};
                }
            } else {
                answer["rows"] = json::array{};
            }
        } else if (target == "/promote") {
            status = promote(body, holder, fence);
        } else {
            status = 404;
        }
        answer["row-version"] = version_;
        answer["now-ms"] =
            std::chrono::duration_cast<milliseconds>(steady::now().time_since_epoch()).count();
        return answer;
    }

    static std::pair<std::string, std::string> name_of(const json::value& row) {
        return {std::string{row.at("table").as_string()}, std::string{row.at("key").as_string()}};
    }

    // Instances.

    struct session {
        bool open = false;
        bool failed = false;
        bool read_only = false;
        std::vector<std::pair<std::string, std::string>> writes;
        std::map<std::string, std::pair<std::string, std::string>> prepared;
        std::string tenant;
        std::map<std::string, std::string> values;
    };

    void replicate() {
        for (auto& from : instances_) {
            if (!from->primary || !from->up) {
                continue;
            }
            for (auto& to : instances_) {
                if (to->service == from->service && !to->primary && to->up && !to->deaf &&
                    to->held == 0 && to->log.size() < from->log.size()) {
                    to->term = from->term;
                    to->log.insert(to->log.end(),
                                   from->log.begin() + static_cast<std::ptrdiff_t>(to->log.size()),
                                   from->log.end());
                }
            }
        }
    }

    bool is_replicated(const instance& primary, const position& at) const {
        return std::any_of(instances_.begin(), instances_.end(), [&](const auto& item) {
            return item->service == primary.service && item.get() != &primary && item->has(at);
        });
    }

    void serve_instance(instance& self, line_socket& socket) {
        const auto start = socket.read_line();
        if (!start) {
            return;
        }
        {
            std::unique_lock lock{mutex_};
            changed_.wait(lock, [&] { return !self.dark; });
        }
        std::istringstream words{*start};
        std::string word;
        std::string service;
        std::string tenant;
        std::string id;
        words >> word >> service >> tenant >> id;
        {
            const std::lock_guard lock{mutex_};
            if (word != "START" || service != self.service || (!id.empty() && id != self.id)) {
                socket.write("ERROR WRONGNODE " + self.id + "\r\n");
                return;
            }
        }
        sleep_ms(12);
        socket.write("READY I " + end_of(self).text() + "\r\n");
        {
            const std::lock_guard lock{mutex_};
            self.connections.push_back(&socket);
        }
        serve_queries(self, socket, tenant);
        const std::lock_guard lock{mutex_};
        std::erase(self.connections, &socket);
    }

    void serve_queries(instance& self, line_socket& socket, const std::string& tenant) {
        session state;
        state.tenant = tenant;
        while (const auto line = socket.read_line()) {
            if (*line == "BYE") {
                return;
            }
            std::string answer;
            {
                std::unique_lock lock{mutex_};
                changed_.wait(lock, [&] { return !self.dark; });
                answer = answer_query(self, state, *line, lock);
            }
            if (!socket.write(answer)) {
                return;
            }
        }
    }

    position end_of(const instance& self) {
        const std::lock_guard lock{mutex_};
        return self.end();
    }

    std::string finish(const instance& self, const session& state,
                       const std::string& result) const {
        const char* phase = state.failed ? "E" : state.open ? "T" : "I";
        return result + "\r\nREADY " + phase + " " + self.end().text() + "\r\n";
    }

    std::string fail(const instance& self, session& state, const std::string& code) const {
        state.failed = state.open;
        return finish(self, state, "ERROR " + code + " " + self.id);
    }

    std::string signature(const instance& self) {
        return std::to_string(++signatures_) + ".s." + self.id;
    }

    void add_run(const instance& self, const session& state, const std::string& id) {
        runs_.push_back({id, self.id, self.service, self.end(), state.tenant, state.values});
        record_.write("ran " + id + " on " + self.id + " of " + self.service + " for " +
                      state.tenant + ", log ends at " + self.end().text());
    }

    std::string answer_query(instance& self, session& state, const std::string& line,
                             std::unique_lock<std::mutex>& lock) {
        std::istringstream words{line};
        std::string word;
        std::string id;
        std::string action;
        words >> word >> id >> action;
        std::optional<position> at_least;
        if (action == "MINLSN") {
            std::string text;
            words >> text >> action;
            at_least = position::parse(text);
        }
        std::string name;
        words >> name;
        std::string rest;
        std::getline(words >> std::ws, rest);
        if (action == "STATUS" || action == "PAUSE" || action == "RESUME" || action == "STEPDOWN") {
            if (action == "PAUSE" && !self.primary && std::stoull(name) > self.term) {
                self.held = std::stoull(name);
            } else if (action == "RESUME") {
                self.held = 0;
                replicate();
                changed_.notify_all();
            } else if (action == "STEPDOWN" && self.primary && std::stoull(name) > self.term) {
                self.primary = false;
                publish(self);
                changed_.notify_all();
            }
            return finish(self, state,
                          "DATAROW " + std::string{self.primary ? "primary " : "replica "} +
                              std::to_string(self.term) + " " + self.end().text() + " " +
                              std::to_string(self.held) + " 0 0 1\r\nCOMPLETE -");
        }
        if (action == "ROLLBACK") {
            state.open = state.failed = false;
            state.writes.clear();
            return finish(self, state, "COMPLETE -");
        }
        if (state.failed) {
            return finish(self, state, "ERROR MALFORMED failed");
        }
        if (action == "SET" || action == "DISCARD") {
            if (action == "DISCARD") {
                state.prepared.clear();
                state.values.clear();
            } else {
                state.values[name] = rest;
            }
            return finish(self, state, "COMPLETE -");
        }
        if (action == "PREPARE") {
            std::istringstream shape{rest};
            std::string access;
            shape >> access;
            state.prepared[name] = {access, rest};
            return finish(self, state, "COMPLETE -");
        }
        if (at_least && self.end() < *at_least) {
            return fail(self, state, "LAGGING");
        }
        if (action == "BEGIN") {
            if (name != "READ" && !self.primary) {
                return fail(self, state, "READONLY");
            }
            state.open = true;
            state.read_only = name == "READ";
            return finish(self, state, "COMPLETE -");
        }
        if (action == "EXECUTE") {
            const auto found = state.prepared.find(name);
            if (found == state.prepared.end()) {
                return fail(self, state, "NOSUCHSTMT");
            }
            action = found->second.first;
            std::istringstream arguments{rest};
            arguments >> name;
            std::getline(arguments >> std::ws, rest);
        }
        if (action == "READ") {
            add_run(self, state, id);
            std::string value = "-";
            for (const auto& entry : self.log) {
                for (const auto& [item, data] : entry.writes) {
                    if (item == name) {
                        value = data;
                    }
                }
            }
            return finish(self, state, "DATAROW " + value + "\r\nCOMPLETE " + signature(self));
        }
        if (action == "WRITE") {
            if (!self.primary || state.read_only) {
                return fail(self, state, "READONLY");
            }
            constexpr std::size_t kept_bytes = 64;
            state.writes.emplace_back(name, rest.substr(0, kept_bytes));
            add_run(self, state, id);
            if (state.open) {
                return finish(self, state, "COMPLETE " + signature(self));
            }
            return commit(self, state, id, lock);
        }
        if (action == "COMMIT") {
            state.open = false;
            add_run(self, state, id);
            return commit(self, state, id, lock);
        }
        return finish(self, state, "ERROR MALFORMED unknown");
    }

    std::string commit(instance& self, session& state, const std::string& id,
                       std::unique_lock<std::mutex>& lock) {
        auto writes = std::exchange(state.writes, {});
        state.read_only = false;
        if (!writes.empty()) {
            const position at{self.term, self.end().number + 1};
            self.log.push_back({at, id, std::move(writes)});
            replicate();
            const auto term = self.term;
            constexpr std::chrono::seconds open_commit{20};
            const bool done = changed_.wait_for(lock, open_commit, [&] {
                return is_replicated(self, at) || !self.up || !self.primary || self.term != term;
            });
            if (!done || !self.up || !self.has(at) || !is_replicated(self, at)) {
                return finish(self, state, "ERROR TIMEOUT " + self.id);
            }
        }
        return finish(self, state, "COMPLETE " + signature(self));
    }

    record_file& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::map<std::pair<std::string, std::string>, std::pair<std::string, std::uint64_t>> rows_;
    std::uint64_t version_ = 0;
    std::uint64_t signatures_ = 0;
    std::map<std::string, std::uint64_t> fences_;
    std::vector<std::pair<std::string, position>> promotions_;
    std::vector<run> runs_;
    std::unique_ptr<line_server> store_;
};

/// A masticgrade-edge process with a settings file of its own. Killed by the destructor.
class host {
public:
    host(const std::string& program, const std::string& folder, const std::string& name,
         const std::string& zone, unsigned short store_port)
        : port_(free_port()), ready_port_(free_port()), path_(folder + "/" + name + ".conf") {
        std::ofstream settings{path_};
        settings << "node=" << name << "\nrole=edge\nmachine-class=edge\nserves=edge\n"
                 << "ip=127.0.0.1\nzone=" << zone << "\nregion=north\n"
                 << "listen-addrs.front=127.0.0.1:" << port_ << "\n"
                 << "listen-addrs.readiness=127.0.0.1:" << ready_port_ << "\n"
                 << "internal-ports=" << free_port() << ",65535\n"
                 << "limits.memory-mb=260\nlimits.max-fds=4300\nlimits.link-mbps=1000.0\n"
                 << "heartbeat-ms=1200\nbounds.grace-s=6\nbounds.fencing-enforced=true\n"
                 << "bounds.strict-revocation=true\nbounds.revoke-ms=5000\n"
                 << "platform.address=127.0.0.1:" << store_port << "\n"
                 << "cloud.address=127.0.0.1:" << store_port << "\ncloud.duties=failover\n";
        settings.close();
        program_ = program;
        log_ = folder + "/" + name + ".log";
        start();
    }
    host(const host&) = delete;
    host& operator=(const host&) = delete;
    ~host() { kill(); }

    void kill() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    void start() {
        const pid_t driver = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0) {
            // The host ends with the driver.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != driver) {
                ::_exit(127);
            }
            ::setenv("MASTICGRADE_SETTINGS", path_.c_str(), 1);
            if (std::freopen(log_.c_str(), "a", stdout) == nullptr ||
                std::freopen(log_.c_str(), "a", stderr) == nullptr) {
                ::_exit(127);
            }
            ::execl(program_.c_str(), program_.c_str(), nullptr);
            ::_exit(127);
        }
    }

    [[nodiscard]] unsigned short port() const { return port_; }
    [[nodiscard]] pid_t pid() const { return pid_; }
    /// Whether the process runs. Reaps it if it has ended.
    [[nodiscard]] bool is_running() {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ > 0;
    }
    /// Resident memory in MB.
    [[nodiscard]] long memory_mb() const {
        std::ifstream status{"/proc/" + std::to_string(pid_) + "/status"};
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:")) {
                return std::stol(line.substr(6)) / 1024;
            }
        }
        return 0;
    }
    [[nodiscard]] bool is_ready() const {
        const auto socket = line_socket::connect(ready_port_);
        if (!socket) {
            return false;
        }
        socket->set_timeout(milliseconds{500});
        socket->write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto line = socket->read_line();
        return line && line->find("200") != std::string::npos;
    }

    [[nodiscard]] bool wait_until_ready() const {
        for (int i = 0; i < 150; ++i) {
            if (is_ready()) {
                return true;
            }
            sleep_ms(100);
        }
        return false;
    }

private:
    unsigned short port_;
    unsigned short ready_port_;
    std::string path_;
    std::string program_;
    std::string log_;
    pid_t pid_ = -1;
};

struct answer {
    std::vector<std::string> rows;
    /// The line COMPLETE or ERROR; empty if the connection ended.
    std::string result;
    [[nodiscard]] bool done() const { return result.starts_with("COMPLETE"); }
};

/// A caller's session.
class caller {
public:
    bool start(unsigned short port, const std::string& database, const std::string& key) {
        socket_ = line_socket::connect(port);
        if (!socket_) {
            return false;
        }
        socket_->set_timeout(milliseconds{5000});
        socket_->write("START " + database + " " + key + "\r\n");
        const auto line = socket_->read_line();
        return line && line->starts_with("READY");
    }

    answer query(const std::string& id, const std::string& text) {
        shared_record()->write("sent " + id + ": " + shortened(text));
        auto result = exchange(id, text);
        shared_record()->write("answered " + id + ": " +
                               (result.result.empty() ? "connection ended" : result.result));
        return result;
    }

private:
    answer exchange(const std::string& id, const std::string& text) {
        answer result;
        if (!socket_ || !socket_->write("QUERY " + id + " " + text + "\r\n")) {
            return result;
        }
        while (const auto line = socket_->read_line()) {
            if (line->starts_with("DATAROW ")) {
                result.rows.push_back(line->substr(8));
            } else if (line->starts_with("READY")) {
                return result;
            } else {
                result.result = *line;
            }
        }
        result.result.clear();
        return result;
    }

    std::unique_ptr<line_socket> socket_;
};

/// The folder for settings and logs of one run; removed at the end.
class temporary_folder {
public:
    temporary_folder() {
        std::string pattern = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
        if (::mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("cannot create a folder");
        }
        path_ = pattern;
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder() {
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(path_);
        }
    }
    [[nodiscard]] const std::string& path() const { return path_; }

private:
    std::string path_;
};

inline bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

/// Plays a case that writes to record.txt in the folder; returns what it returns, or 2 if it cannot
/// run. Ends the process without destructors of static objects, which connections still use.
inline int run_case(const std::string& folder, const std::function<int(record_file&)>& play) {
    ::signal(SIGPIPE, SIG_IGN);
    auto& record = *new record_file{folder + "/record.txt"};
    shared_record() = &record;
    int result = 2;
    try {
        result = play(record);
    } catch (const std::exception& failure) {
        record.write(std::string{"cannot run: "} + failure.what());
    }
    record.write("result " + std::to_string(result));
    std::_Exit(result);
}

}  // namespace review

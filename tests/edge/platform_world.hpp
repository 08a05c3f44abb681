#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fakes.hpp"
#include "masticgrade/net/http_server.hpp"
#include "store_rows.hpp"

namespace masticgrade::edge_test {

/// Stand-ins on loopback for what the edge process meets on the platform: the store's rows, the
/// promotion call, and three instances of one database group that speak the line protocol. They
/// share one model and one thread. Thread safety: any thread.
class platform_world {
public:
    platform_world();
    platform_world(const platform_world&) = delete;
    platform_world& operator=(const platform_world&) = delete;
    ~platform_world();

    [[nodiscard]] std::string store_address() const;

    /// Writes the operators' configuration with these keys of the customer "parish".
    void configure(const std::vector<std::string>& keys);
    /// Keeps a copy of the store.
    void copy_store();
    /// Restores the store from its copy; the operators write their configuration, with these keys,
    /// and the instances their entries before any host reads the store.
    void restore_store(const std::vector<std::string>& keys);
    /// Ends an instance at once, with its connections and its entry.
    void kill_instance(const std::string& name);
    /// Another writer leaves an entry among those of the instances.
    void put_entry(const std::string& name, const std::string& value);
    /// Each statement takes this long after it has run until it is answered.
    void set_work(milliseconds work);
    /// The next change of rows takes effect and is not answered.
    void lose_next_commit_answer();
    /// From now on instances send each answer once more when the next request has arrived.
    void repeat_answers();

    [[nodiscard]] std::string primary();
    [[nodiscard]] std::size_t promotions();
    /// For each transaction on a connection, the ids of the statements that ran in it.
    [[nodiscard]] std::vector<std::vector<std::string>> transactions();
    [[nodiscard]] std::size_t runs_of(const std::string& statement);
    /// The longest log of the live instances.
    [[nodiscard]] std::uint64_t longest_log();

private:
    struct instance_server;

    void run_in_world(const std::function<void()>& action);
    boost::asio::awaitable<http_response> answer_http(http_request request);
    boost::asio::awaitable<http_response> promote(const std::string& body);
    void publish_entries();
    void write_configuration(const std::vector<std::string>& keys);
    boost::asio::awaitable<void> accept(instance_server& server);
    boost::asio::awaitable<void> serve(instance_server& server,
                                       std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    std::string answer_line(instance_server& server, const statement_answer& answer,
                            const std::string& text);
    void replicate();

    boost::asio::io_context context_{1};
    test::fake_connector model_;
    test::fake_promotions promotions_{model_};
    std::map<std::string, std::unique_ptr<instance_server>> servers_;
    store_rows rows_;
    std::map<std::string, std::string> data_;
    std::uint64_t configuration_version_ = 0;
    bool lose_answer_ = false;
    bool repeats_answers_ = false;
    std::vector<std::vector<std::string>> transactions_;
    milliseconds work_{0};
    std::unique_ptr<http_server> store_;
    std::thread thread_;
};

}  // namespace masticgrade::edge_test

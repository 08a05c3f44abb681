#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "database_cluster.hpp"
#include "fault_proxy.hpp"
#include "masticgrade/net/http_server.hpp"
#include "store_rows.hpp"

namespace masticgrade::soak {

struct soak_customer {
    std::string name;
    std::string key;
    double rate = 0;
    double burst = 0;
    bool withdrawn = false;
};

enum class store_fault { none, refuse, silent, lose_answers, slow };

/// The platform around the edge processes: the store, the promotion call, the instances, and a
/// proxy in front of each. Runs on a thread of its own. Thread safety: any thread.
class soak_world {
public:
    explicit soak_world(std::size_t hosts);
    soak_world(const soak_world&) = delete;
    soak_world& operator=(const soak_world&) = delete;
    ~soak_world();

    /// The port at which host `index` reaches the store.
    [[nodiscard]] unsigned short store_port(std::size_t index) const;
    void configure(std::vector<soak_customer> customers);
    /// A key that is withdrawn stops working within this time; the users' bound.
    static constexpr seconds revocation_bound{5};

    void set_store_fault(store_fault fault);
    void set_store_link(std::size_t host, link_fault fault);
    void set_instance_link(std::size_t instance, link_fault fault);
    void crash_instance(std::size_t instance);
    void crash_primary();
    void restart_instances();
    void end_all_faults();

    void repeat_answers(double share, std::uint64_t seed);
    void check_acknowledged();
    [[nodiscard]] sent_statements& sent() { return databases_.sent; }

    [[nodiscard]] std::vector<std::string> violations();
    [[nodiscard]] std::size_t promotions();
    [[nodiscard]] std::size_t statements();
    [[nodiscard]] std::size_t repeated();

private:
    void run_in_world(const std::function<void()>& action);
    boost::asio::awaitable<http_response> answer(http_request request);
    boost::asio::awaitable<http_response> promote(http_request request);
    boost::asio::awaitable<void> keep_entries();
    void publish(const std::string& name);

    boost::asio::io_context context_{1};
    database_cluster databases_{context_};
    std::vector<std::string> names_;
    edge_test::store_rows rows_;
    std::unique_ptr<http_server> store_;
    std::vector<std::unique_ptr<fault_proxy>> store_links_;
    std::vector<std::unique_ptr<fault_proxy>> instance_links_;
    std::map<std::string, time_point> last_seen_;
    store_fault store_fault_ = store_fault::none;
    std::uint64_t configuration_version_ = 0;
    std::thread thread_;
};

}  // namespace masticgrade::soak

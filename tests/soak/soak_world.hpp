#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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

enum class store_fault {
    none,
    refuse,
    silent,
    lose_answers,
    slow,
    /// Changes of the rows of groups are refused, as with a part of the store that is down.
    refuse_group_rows,
};

/// What happens to the promotion calls that arrive; none of these is answered.
enum class promotion_fault {
    none,
    /// They are carried out after a delay.
    late,
    lost,
};

/// The platform around the edge processes: the store, the promotion call, the instances, and a
/// proxy in front of each. Instances are named by the number of their place, 0 to 2; one that has
/// ended is followed by another one there. Runs on a thread of its own. Thread safety: any thread.
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
    /// Returns the instance that has crashed; nothing when no primary runs.
    std::optional<std::size_t> crash_primary();
    /// Starts the instance again with its log if it is down.
    void restart_instance(std::size_t instance);
    /// The same, under a new id at its address. The entry of the old id lapses.
    void restart_renamed(std::size_t instance);
    void restart_instances();
    /// The instance gets nothing from the primary, and runs.
    void set_deaf(std::size_t instance, bool deaf);
    /// See `database_cluster::stop_receiving_after`.
    void stop_receiving_after(std::size_t instance, std::size_t writes);
    [[nodiscard]] bool has_stopped_receiving();
    /// Neither the store nor a host hears of the instance, and it receives from the primary.
    void set_cut_off(std::size_t instance, bool cut_off);
    /// Starts the instance again, with an empty log if another instance leads; see
    /// `database_cluster::restart_empty`. Its entry is that of before, until it has lapsed, and
    /// its own comes after `unlisted`.
    void restart_empty(std::size_t instance, milliseconds transfer,
                       milliseconds unlisted = milliseconds{0});
    /// Gives the instance another address.
    void move(std::size_t instance);
    /// Starts the instance that leads and is down again with an empty log; it still leads.
    void restart_primary_empty(std::size_t instance);
    /// Starts a further replica and returns its place; see `replace` for the times.
    std::size_t join(milliseconds transfer, milliseconds unlisted);
    /// No entry of an instance changes or ends, as if the store took no writes of instances.
    void set_entries_frozen(bool frozen);
    void set_draining(std::size_t instance, bool draining);
    /// Ends an instance. Its successor has its log after `transfer`, and is listed after
    /// `unlisted`.
    void replace(std::size_t instance, milliseconds transfer, milliseconds unlisted);
    /// A late call takes effect after `delay`.
    void set_promotion_fault(promotion_fault fault, milliseconds delay);
    /// The target of the next promotion call crashes `crash` after the call, and starts again with
    /// an empty log `restart` after that.
    void restart_next_target_empty(milliseconds crash, milliseconds restart);
    /// See `database_cluster::hold_back_resumes`.
    void hold_back_resumes(std::size_t instance);
    std::size_t carry_out_resumes();
    [[nodiscard]] std::size_t resumes_held_back();
    /// See `database_cluster::delay_orders`.
    void delay_orders(std::optional<milliseconds> delay);
    void end_all_faults();

    /// The place of the instance that leads, also when it is down.
    [[nodiscard]] std::optional<std::size_t> primary();
    [[nodiscard]] bool is_up(std::size_t instance);
    [[nodiscard]] bool is_held(std::size_t instance);
    /// Whether the entry of the instance is among the store's.
    [[nodiscard]] bool is_listed(std::size_t instance);
    [[nodiscard]] std::size_t missing_writes(std::size_t instance);
    /// Number of commits in the instance's log.
    [[nodiscard]] std::size_t log_size(std::size_t instance);
    /// The places of the instances named by the promotion calls that have arrived.
    [[nodiscard]] std::vector<std::size_t> promotion_calls();
    /// Promotion calls that may still take effect.
    [[nodiscard]] std::size_t pending_promotions();

    void repeat_answers(double share, std::uint64_t seed);
    void check_acknowledged();
    [[nodiscard]] sent_statements& sent() { return databases_.sent; }

    [[nodiscard]] std::vector<std::string> violations();
    [[nodiscard]] std::size_t promotions();
    [[nodiscard]] std::size_t statements();
    [[nodiscard]] std::size_t repeated();

private:
    /// Where an instance runs, its address and its entry.
    struct place {
        std::string name;
        std::unique_ptr<fault_proxy> link;
        std::uint64_t born = 0;
        /// Of the last entry; counts from the start of the process.
        std::uint64_t sequence = 0;
        bool cut_off = false;
        bool draining = false;
        bool listed = false;
        time_point unlisted_until{};
        time_point last_seen{};
    };

    void run_in_world(const std::function<void()>& action);
    boost::asio::awaitable<http_response> answer(http_request request);
    boost::asio::awaitable<http_response> promote(http_request request);
    boost::asio::awaitable<void> promote_late(std::string target, std::uint64_t fence,
                                              milliseconds delay);
    boost::asio::awaitable<void> restart_target(std::size_t index, milliseconds crash,
                                                milliseconds restart);
    void start_empty(std::size_t index, milliseconds transfer, milliseconds unlisted);
    void publish_all();
    boost::asio::awaitable<void> keep_entries();
    void update_entries();
    void publish(std::size_t index);
    void remove_entry(place& item);
    void follow(place& item, std::string successor);
    [[nodiscard]] bool reports(const place& item) const;
    void set_up(place& item);

    boost::asio::io_context context_{1};
    database_cluster databases_{context_};
    std::vector<place> places_;
    /// Entries of ids that have ended without notice, and when they lapse.
    std::map<std::string, time_point> lapsing_entries_;
    /// Of addresses that instances have left.
    std::vector<std::unique_ptr<fault_proxy>> former_links_;
    edge_test::store_rows rows_;
    std::unique_ptr<http_server> store_;
    std::vector<std::unique_ptr<fault_proxy>> store_links_;
    store_fault store_fault_ = store_fault::none;
    promotion_fault promotion_fault_ = promotion_fault::none;
    milliseconds promotion_delay_{0};
    std::vector<std::size_t> promotion_calls_;
    std::size_t late_calls_ = 0;
    struct target_restart {
        milliseconds crash{};
        milliseconds restart{};
    };
    std::optional<target_restart> target_restart_;
    bool entries_frozen_ = false;
    std::uint64_t configuration_version_ = 0;
    std::thread thread_;
};

}  // namespace masticgrade::soak

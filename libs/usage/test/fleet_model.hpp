#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "masticgrade/usage/usage_reporter.hpp"

namespace masticgrade::test {

/// The row of the record, with the faults of a table service.
class model_store {
public:
    struct outcome {
        bool committed = false;
        fleet_version version;
        store_era era;
    };

    [[nodiscard]] stored_usage_record read() const;
    outcome commit(const usage_record& record, fleet_version expected);
    /// Another writer replaces the row.
    void overwrite(const std::string& value);
    /// Keeps a copy of the row and the version counter.
    void copy();
    /// Goes back to the copy, in a new era.
    void restore();

    bool is_away = false;

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
    };

    row row_;
    std::uint64_t counter_ = 10;
    store_era era_{1};
    row copied_row_;
    std::uint64_t copied_counter_ = 10;
};

/// The platform's service for reports. It records every broken rule.
class model_platform {
public:
    model_platform(milliseconds lease, bool is_fencing) : lease_(lease), is_fencing_(is_fencing) {}

    /// A call that arrives. `is_disturbed` exempts it from the rules about order, as for calls that
    /// are carried out late.
    bool receive(const host_id& holder, const send_report_step& call, boot_time now,
                 bool is_disturbed);

    std::map<window_number, usage_counts> reports;
    std::map<window_number, boot_time> arrived_at;
    std::vector<std::string> violations;
    bool is_away = false;

private:
    struct act {
        host_id holder;
        boot_time at;
    };

    milliseconds lease_;
    bool is_fencing_;
    std::uint64_t highest_fence_ = 0;
    std::map<std::uint64_t, host_id> holders_;
    std::vector<act> acts_;
};

/// Hosts that count operations, exchange totals and report usage, in steps of 100 ms.
class fleet_model {
public:
    static constexpr milliseconds tick{100};

    fleet_model(std::size_t hosts, std::uint32_t seed, bool is_fencing = true);

    struct member {
        host_id host;
        incarnation_number incarnation;
        bool is_alive = true;
        boot_time frozen_until;
        /// The store refuses this host's calls.
        bool is_refused = false;
        /// Its calls to the platform get lost.
        bool misses_platform = false;
        /// It exchanges no messages with the other hosts, but reaches the store and the platform.
        bool is_cut_off = false;
        std::unique_ptr<operation_counter> counter;
        std::unique_ptr<usage_collector> collector;
        std::unique_ptr<usage_reporter> reporter;
        /// A step whose outcome has not arrived yet.
        std::optional<usage_step> pending;
        boot_time pending_until;
        boot_time sent_at;
    };

    void run(milliseconds length);
    /// `count` operations of the customer run through the host now.
    void work(std::size_t host, const std::string& customer, unsigned count = 1);
    void kill(std::size_t host);
    void start(std::size_t host);
    /// Each tick has a fault of a random kind with this probability.
    void set_fault_probability(double value) { fault_probability_ = value; }
    /// The store refuses all calls for this long.
    void stop_store(milliseconds length) { store_back_at_ = now_ + length; }
    /// Ends all faults and starts the hosts that are down.
    void heal();

    [[nodiscard]] std::optional<std::size_t> holder() const;
    [[nodiscard]] wall_time wall() const { return wall_; }

    usage_settings settings;
    model_store store;
    model_platform platform;
    std::vector<member> members;
    /// Operations that ran, by window.
    std::map<window_number, usage_counts> truth;
    /// Proportion of calls that are not answered, and carried out late or not at all.
    double lost_answers = 0;

private:
    /// A call whose sender has given up.
    struct late_call {
        boot_time at;
        host_id host;
        usage_step step;
    };

    bool chance(double probability);
    [[nodiscard]] bool is_running(const member& item) const;
    void inject_fault();
    void exchange_totals();
    void step(member& item);
    void begin(member& item, usage_step step);
    void finish(member& item);
    void answer(member& item, const read_record_step& step);
    void answer(member& item, const write_record_step& step);
    void answer(member& item, const send_report_step& step);
    void carry_out_late_calls();
    [[nodiscard]] std::vector<collector_candidate> live_hosts() const;

    std::mt19937 random_;
    boot_time now_{seconds{1000}};
    wall_time wall_{seconds{1'790'000'000}};
    double fault_probability_ = 0;
    std::uint64_t starts_ = 0;
    std::vector<late_call> late_calls_;
    boot_time store_back_at_;
    boot_time platform_back_at_;
};

}  // namespace masticgrade::test

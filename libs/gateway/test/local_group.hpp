#pragma once

#include "backend_group.hpp"
#include "fakes.hpp"

namespace masticgrade::test {

/// The environment of a group on the only host of a fleet.
inline group_environment make_local_environment(const boost::asio::any_io_executor& executor,
                                                instance_connector& connector,
                                                gateway_metrics& metrics) {
    return {executor,
            connector,
            metrics,
            failure_domain_id{"north"},
            [] { return std::size_t{1}; },
            [] { return 1.0; },
            [] {},
            [](const instance_entry&) {
                return instance_pool_owner{true, {}};
            },
            {},
            {}};
}

/// Lets the group use its primary as if no failover had ever taken place.
inline void prove_leadership(backend_group& group) {
    group.on_failover_row(std::nullopt, boot_clock::now());
}

}  // namespace masticgrade::test

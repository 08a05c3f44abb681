#pragma once

#include "backend_group.hpp"
#include "fakes.hpp"

namespace masticgrade::test {

/// The environment of a group on the only host of a fleet.
inline group_environment make_local_environment(const boost::asio::any_io_executor& executor,
                                                fake_connector& connector,
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

}  // namespace masticgrade::test

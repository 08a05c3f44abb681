#include "masticgrade/version/rendezvous.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <set>

using namespace masticgrade;

namespace {

members make_members(int count, int domains) {
    members hosts;
    for (int i = 0; i < count; ++i) {
        const host_id id{fmt::format("host-{}", i)};
        hosts.hosts[id] = {id, endpoint_address{},
                           failure_domain_id{fmt::format("fd-{}", i % domains)},
                           incarnation_number{1}};
    }
    return hosts;
}

}  // namespace

// Guards against the reassignment of all customers when one host is replaced.
TEST_CASE("removing a host reassigns only the subjects for which it ranked first") {
    const auto before = make_members(7, 4);
    auto after = before;
    const host_id removed{"host-3"};
    after.hosts.erase(removed);
    for (int subject = 0; subject < 200; ++subject) {
        const auto name = fmt::format("customer-{}", subject);
        const auto old_first = rank_hosts(before, name, 1).front();
        if (old_first != removed) {
            CHECK(rank_hosts(after, name, 1).front() == old_first);
        }
    }
}

// Guards against losing all monitors of a group with one failure domain.
TEST_CASE("ranking across domains prefers distinct failure domains") {
    const auto hosts = make_members(7, 4);
    for (int subject = 0; subject < 50; ++subject) {
        std::set<failure_domain_id> domains;
        for (const auto& id :
             rank_hosts_across_domains(hosts, fmt::format("group-{}", subject), 3)) {
            domains.insert(hosts.hosts.at(id).failure_domain);
        }
        CHECK(domains.size() == 3);
    }
}

#include "masticgrade/version/rendezvous.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace masticgrade {

namespace {

struct scored_host {
    XXH64_hash_t score;
    const member* host;
};

/// Returns all hosts in descending order of their score for the subject.
std::vector<scored_host> score_hosts(const members& hosts, std::string_view subject) {
    const auto seed = XXH3_64bits(subject.data(), subject.size());
    std::vector<scored_host> scored;
    scored.reserve(hosts.hosts.size());
    for (const auto& [id, host] : hosts.hosts) {
        scored.push_back({XXH3_64bits_withSeed(id.str().data(), id.str().size(), seed), &host});
    }
    std::sort(scored.begin(), scored.end(), [](const scored_host& left, const scored_host& right) {
        return std::pair{left.score, left.host->id} > std::pair{right.score, right.host->id};
    });
    return scored;
}

}  // namespace

std::vector<host_id> rank_hosts(const members& hosts, std::string_view subject, std::size_t count) {
    std::vector<host_id> ranked;
    for (const auto& [score, host] : score_hosts(hosts, subject)) {
        if (ranked.size() == count) {
            break;
        }
        ranked.push_back(host->id);
    }
    return ranked;
}

std::vector<host_id> rank_hosts_across_domains(const members& hosts, std::string_view subject,
                                               std::size_t count) {
    std::vector<host_id> ranked;
    std::vector<host_id> remaining;
    std::set<failure_domain_id> ranked_domains;
    for (const auto& [score, host] : score_hosts(hosts, subject)) {
        if (ranked_domains.insert(host->failure_domain).second) {
            ranked.push_back(host->id);
        } else {
            remaining.push_back(host->id);
        }
    }
    ranked.insert(ranked.end(), remaining.begin(), remaining.end());
    ranked.resize(std::min(ranked.size(), count));
    return ranked;
}

}  // namespace masticgrade

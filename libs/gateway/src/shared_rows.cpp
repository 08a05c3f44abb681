#include "shared_rows.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// A host of the same failure domain answers within a few milliseconds.
constexpr milliseconds answer_timeout{150};

}  // namespace

std::uint64_t digest_rows(const std::vector<table_row>& rows) {
    std::string names;
    for (const auto& row : rows) {
        names += row.key + '\n' + std::to_string(row.version.value()) + '\n';
    }
    return XXH3_64bits(names.data(), names.size());
}

shared_rows::shared_rows(table_service& store, std::function<std::vector<host_id>()> hosts_to_ask,
                         ask_host ask)
    : store_(store), hosts_to_ask_(std::move(hosts_to_ask)), ask_(std::move(ask)) {}

asio::awaitable<row_snapshot> shared_rows::read(std::string prefix, milliseconds max_age,
                                                time_point deadline) {
    const auto least = boot_clock::now() - max_age;
    for (const auto& host : hosts_to_ask_()) {
        auto told = co_await ask(host, prefix, deadline);
        if (told && told->read_at >= least) {
            co_return std::move(*told);
        }
    }
    co_return co_await read_store(std::move(prefix), deadline);
}

asio::awaitable<std::optional<row_snapshot>> shared_rows::ask(host_id host, std::string prefix,
                                                              time_point deadline) {
    const auto asked_at = boot_clock::now();
    const auto answer_by = std::min(deadline, steady_clock::now() + answer_timeout);
    row_query question{prefix, newest_[prefix].digest};
    auto told = co_await ask_(std::move(host), question, answer_by);
    if (!told || !told->known) {
        co_return std::nullopt;
    }
    auto& newest = newest_[prefix];
    if (told->digest == question.digest && newest.digest == question.digest) {
        newest.read_at = std::max(newest.read_at, asked_at - told->age);
        co_return newest;
    }
    row_snapshot reading{std::move(told->rows), told->digest, asked_at - told->age};
    if (digest_rows(reading.rows) != reading.digest) {
        // The rows were left out for a digest that this host no longer has.
        co_return std::nullopt;
    }
    if (reading.read_at > newest.read_at) {
        newest = reading;
    }
    co_return reading;
}

asio::awaitable<row_snapshot> shared_rows::read_store(std::string prefix, time_point deadline) {
    const auto asked_at = boot_clock::now();
    auto name = prefix;
    auto scanned = co_await store_.scan(std::move(name), {}, deadline);
    row_snapshot reading{std::move(scanned.rows), 0, asked_at};
    reading.digest = digest_rows(reading.rows);
    auto& newest = newest_[prefix];
    if (reading.read_at > newest.read_at) {
        newest = reading;
    }
    co_return reading;
}

row_reply shared_rows::tell(const row_query& question, boot_time now) const {
    const auto found = newest_.find(question.prefix);
    if (found == newest_.end() || found->second.read_at == boot_time{}) {
        return {};
    }
    const auto& newest = found->second;
    row_reply told{true, newest.digest, std::chrono::ceil<milliseconds>(now - newest.read_at), {}};
    if (newest.digest != question.digest) {
        told.rows = newest.rows;
    }
    return told;
}

}  // namespace masticgrade

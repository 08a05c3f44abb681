#include "masticgrade/control/row_change.hpp"

#include <openssl/rand.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "masticgrade/base/base64url.hpp"
#include "masticgrade/base/error.hpp"
#include "masticgrade/base/invariant.hpp"
#include "masticgrade/net/http_client.hpp"
#include "masticgrade/version/row_codec.hpp"
#include "masticgrade/version/snapshot_builder.hpp"
#include "wait.hpp"

namespace masticgrade {

namespace asio = boost::asio;

namespace {

/// Whether the platform may have executed a failed request.
bool may_have_run(const error& failure) {
    const auto* request = dynamic_cast<const request_error*>(&failure);
    return request == nullptr || request->may_have_run();
}

/// Retries a conditional change until its outcome is known or the deadline has passed.
class row_change {
public:
    row_change(table_service& table, row_put change, std::string mark, row_state base,
               change_retry_policy retry_policy)
        : table_(table),
          change_(std::move(change)),
          mark_(std::move(mark)),
          base_(std::move(base)),
          retry_policy_(retry_policy) {}

    asio::awaitable<change_result> run() {
        while (true) {
            if (auto result = co_await attempt()) {
                co_return *result;
            }
            if (auto result = co_await resolve_from_row()) {
                co_return *result;
            }
            if (steady_clock::now() >= retry_policy_.deadline) {
                const auto outcome =
                    may_have_been_received_ ? change_outcome::unknown : change_outcome::not_sent;
                co_return change_result{outcome, {}, failure_};
            }
            co_await wait_for(retry_policy_.retry_interval, retry_policy_.deadline);
        }
    }

private:
    asio::awaitable<std::optional<change_result>> attempt() {
        try {
            auto commit = make_commit();
            const auto result =
                co_await table_.commit(std::move(commit), attempt_deadline(retry_policy_.deadline));
            if (result.committed) {
                co_return change_result{change_outcome::committed, result.version};
            }
            if (!may_have_been_received_) {
                // No earlier attempt can have taken effect, so the conflict is due to another
                // change.
                co_return change_result{change_outcome::conflict, conflicting_version(result)};
            }
        } catch (const error& failure) {
            may_have_been_received_ = may_have_been_received_ || may_have_run(failure);
            failure_ = failure.what();
        }
        co_return std::nullopt;
    }

    [[nodiscard]] table_commit make_commit() const {
        return {{{change_.key, base_.version}}, {change_}};
    }

    [[nodiscard]] fleet_version conflicting_version(const commit_result& result) const {
        for (const auto& conflict : result.conflicts) {
            if (conflict.key == change_.key) {
                return conflict.version;
            }
        }
        return {};
    }

    asio::awaitable<std::optional<change_result>> resolve_from_row() {
        if (!may_have_been_received_) {
            co_return std::nullopt;
        }
        try {
            const auto row =
                co_await read_row(table_, change_.key, attempt_deadline(retry_policy_.deadline));
            const auto present = row ? decode_row_state(*row) : row_state{};
            switch (resolve_change(base_, mark_, present)) {
                case change_resolution::committed:
                    co_return change_result{change_outcome::committed, present.version};
                case change_resolution::lost:
                    co_return change_result{change_outcome::conflict, present.version};
                case change_resolution::unknown:
                    co_return change_result{change_outcome::unknown, present.version,
                                            "more than 8 changes followed"};
                case change_resolution::pending:
                    break;
            }
        } catch (const error& failure) {
            failure_ = failure.what();
        }
        co_return std::nullopt;
    }

    table_service& table_;
    row_put change_;
    std::string mark_;
    row_state base_;
    change_retry_policy retry_policy_;
    bool may_have_been_received_ = false;
    std::string failure_;
};

}  // namespace

std::string make_random_token(std::size_t bytes) {
    std::string random(bytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(random.data()), static_cast<int>(bytes)) != 1) {
        throw error("random", "", "OpenSSL has no random bytes");
    }
    return encode_base64url(random);
}

asio::awaitable<std::optional<table_row>> read_row(table_service& table, std::string key,
                                                   time_point deadline) {
    const auto result = co_await table.scan(key, fleet_version{}, deadline);
    const auto found = std::find_if(result.rows.begin(), result.rows.end(),
                                    [&](const table_row& row) { return row.key == key; });
    co_return found == result.rows.end() ? std::nullopt : std::optional{*found};
}

asio::awaitable<change_result> commit_row(table_service& table, row_put change, std::string mark,
                                          row_state base, change_retry_policy retry_policy) {
    MG_PRECONDITION(change.value.find(mark) != std::string::npos);
    row_change task{table, std::move(change), std::move(mark), std::move(base), retry_policy};
    co_return co_await task.run();
}

asio::awaitable<change_result> edit_operations(table_service& table, operations_edit edit,
                                               change_retry_policy retry_policy) {
    while (true) {
        const auto fleet = co_await load_fleet(table, retry_policy.deadline);
        if (const auto* bad = find_rejected(fleet, operations_row_key)) {
            // Overwriting the row would drop the revoked keys in it.
            throw error("edit operations", "", "the row cannot be decoded: " + bad->reason);
        }
        auto next = fleet.snapshot->ops;
        if (!edit(*fleet.snapshot, next)) {
            co_return change_result{change_outcome::unchanged, next.version};
        }
        const auto mark = make_random_token();
        row_put put{std::string{operations_row_key}, encode_operations_row(next, mark)};
        row_state base{next.version, next.marks};
        auto result =
            co_await commit_row(table, std::move(put), mark, std::move(base), retry_policy);
        if (result.outcome != change_outcome::conflict ||
            steady_clock::now() >= retry_policy.deadline) {
            co_return result;
        }
    }
}

}  // namespace masticgrade

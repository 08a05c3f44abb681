#pragma once

#include <compare>
#include <cstdint>

#include "masticgrade/base/types.hpp"

namespace masticgrade {

struct instance_entry;

/// One process of an instance, whose log may have acknowledged commits. An instance that starts
/// again may have lost its log, so its new process is another log holder.
struct log_holder {
    instance_id instance;
    endpoint_address address;
    /// See instance_entry::start_time; zero if unknown.
    std::int64_t start_time = 0;

    friend bool operator==(const log_holder&, const log_holder&) = default;
    friend auto operator<=>(const log_holder&, const log_holder&) = default;
};

/// The process that has published the entry. Thread safety: reentrant.
log_holder log_holder_of(const instance_entry& entry);

/// Whether the entry shows that the holder's process has ended: another process, which did not
/// start earlier, has its id or its address. Entries of earlier processes return when the store is
/// restored from a copy, so one that started earlier shows nothing. Thread safety: reentrant.
bool is_successor(const instance_entry& entry, const log_holder& holder);

}  // namespace masticgrade

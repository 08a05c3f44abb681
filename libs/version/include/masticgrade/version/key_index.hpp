#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "masticgrade/version/configuration.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

/// A SHA-256 hash in binary form.
using key_digest = std::array<std::uint8_t, 32>;

/// Hashes a plaintext key with SHA-256. Throws masticgrade::error if OpenSSL fails.
/// Thread safety: reentrant.
key_digest digest_key(std::string_view presented_key);

/// Convert between the binary form and 64 lower-case hexadecimal digits. Thread safety: reentrant.
key_hash to_key_hash(const key_digest& digest);
std::optional<key_digest> to_key_digest(const key_hash& hash);

/// The customer that a key authenticates, and the id of the key.
struct key_owner {
    customer_id customer;
    key_id key;
};

/// An index of the valid keys of a fleet snapshot: the keys in the configuration and those that
/// operators added, except keys whose id or hash is revoked and keys of customers that are not
/// configured. Thread safety: immutable after construction.
class key_index {
public:
    key_index(const configuration& config, const operations& ops);

    /// Returns the owner of a key, or null if the key is not valid. The pointer is valid for the
    /// lifetime of the index.
    [[nodiscard]] const key_owner* find(const key_digest& digest) const noexcept;
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct entry {
        key_digest digest{};
        key_owner owner;
    };

    void add(const customer_id& customer, const customer_key& key, const operations& ops);
    [[nodiscard]] std::size_t first_slot(const key_digest& digest) const noexcept;
    void build_slots();

    std::vector<entry> entries_;
    /// An open-addressing hash table. A slot holds an index into `entries_` plus 1; 0 marks an
    /// empty slot.
    std::vector<std::uint32_t> slots_;
};

}  // namespace masticgrade

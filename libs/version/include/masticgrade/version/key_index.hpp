#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "masticgrade/version/configuration.hpp"
#include "masticgrade/version/fleet_snapshot.hpp"

namespace masticgrade {

/// A SHA-256 hash as bytes.
using key_digest = std::array<std::uint8_t, 32>;

/// Hashes a key as a caller presents it. Throws masticgrade::error if OpenSSL fails.
/// Thread safety: reentrant.
key_digest digest_key(std::string_view presented_key);

/// Conversions between bytes and 64 lower-case hexadecimal digits. Thread safety: reentrant.
key_hash to_key_hash(const key_digest& digest);
std::optional<key_digest> to_key_digest(const key_hash& hash);

/// The customer whom a key identifies.
struct key_owner {
    customer_id customer;
    key_id key;
};

/// The valid keys of one fleet snapshot: those of the document and those that operators added,
/// without any whose id or hash is revoked. Keys of customers that the document does not define
/// are left out. Thread safety: immutable after construction.
class key_index {
public:
    key_index(const configuration& config, const operations& ops);

    /// The owner of a valid key, or null. The pointer lives as long as the index.
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
    /// An open-addressing table of positions in `entries_`, each plus one; 0 is an empty slot.
    std::vector<std::uint32_t> slots_;
};

}  // namespace masticgrade

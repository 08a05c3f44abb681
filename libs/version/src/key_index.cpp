#include "masticgrade/version/key_index.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <bit>
#include <cstring>
#include <string>

#include "masticgrade/base/error.hpp"

namespace masticgrade {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

/// Fetches the algorithm once. With EVP_sha256, OpenSSL 3 would fetch it again for every hash.
const EVP_MD* sha256() {
    static EVP_MD* const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    return algorithm;
}

}  // namespace

key_digest digest_key(std::string_view presented_key) {
    key_digest digest{};
    unsigned length = 0;
    if (sha256() == nullptr ||
        EVP_Digest(presented_key.data(), presented_key.size(), digest.data(), &length, sha256(),
                   nullptr) != 1 ||
        length != digest.size()) {
        throw error("hash key", "", "SHA-256 is not available");
    }
    return digest;
}

key_hash to_key_hash(const key_digest& digest) {
    std::string text;
    text.reserve(2 * digest.size());
    for (const auto byte : digest) {
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 0xFU];
    }
    return key_hash{std::move(text)};
}

std::optional<key_digest> to_key_digest(const key_hash& hash) {
    key_digest digest{};
    const auto& text = hash.str();
    if (text.size() != 2 * digest.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const auto high = hex_digits.find(text[2 * i]);
        const auto low = hex_digits.find(text[2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        digest[i] = static_cast<std::uint8_t>(high << 4U | low);
    }
    return digest;
}

key_index::key_index(const configuration& config, const operations& ops) {
    // Keys added by operators take precedence: of two entries with equal hashes, `find` returns the
    // one that was inserted first.
    for (const auto& [customer, keys] : ops.added_keys) {
        if (!config.customers.contains(customer)) {
            continue;
        }
        for (const auto& key : keys) {
            add(customer, key, ops);
        }
    }
    for (const auto& [name, customer] : config.customers) {
        for (const auto& key : customer.keys) {
            add(name, key, ops);
        }
    }
    build_slots();
}

void key_index::add(const customer_id& customer, const customer_key& key, const operations& ops) {
    const auto digest = to_key_digest(key.hash);
    const bool revoked = ops.revoked_keys.contains(key.id) || ops.revoked_hashes.contains(key.hash);
    if (digest && !revoked) {
        entries_.push_back({*digest, {customer, key.id}});
    }
}

void key_index::build_slots() {
    // A load factor of at most one half keeps probe sequences short.
    slots_.assign(std::bit_ceil(2 * entries_.size() + 1), 0);
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        auto slot = first_slot(entries_[i].digest);
        while (slots_[slot] != 0) {
            slot = (slot + 1) & (slots_.size() - 1);
        }
        slots_[slot] = static_cast<std::uint32_t>(i + 1);
    }
}

std::size_t key_index::first_slot(const key_digest& digest) const noexcept {
    // SHA-256 hashes are uniformly distributed, so a prefix serves as the hash value.
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.data(), sizeof prefix);
    return prefix & (slots_.size() - 1);
}

const key_owner* key_index::find(const key_digest& digest) const noexcept {
    for (auto slot = first_slot(digest); slots_[slot] != 0;
         slot = (slot + 1) & (slots_.size() - 1)) {
        const auto& candidate = entries_[slots_[slot] - 1];
        if (CRYPTO_memcmp(candidate.digest.data(), digest.data(), digest.size()) == 0) {
            return &candidate.owner;
        }
    }
    return nullptr;
}

}  // namespace masticgrade

#include "masticgrade/rows/row_source.hpp"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "row_compression.hpp"

namespace masticgrade {

namespace {

std::size_t bytes_of(const row_snapshot& snapshot) {
    std::size_t result = 0;
    for (const auto& row : snapshot.rows) {
        result += row.key.size() + row.value.size();
    }
    return result;
}

}  // namespace

void row_source::update(const row_snapshot& snapshot) {
    if (!versions_.empty() && current().digest == snapshot.digest) {
        auto& known = versions_.front().snapshot;
        known.read_at = std::max(known.read_at, snapshot.read_at);
        known.era = std::max(known.era, snapshot.era);
    } else {
        // Rows may return to an earlier state.
        std::erase_if(versions_,
                      [&](const version& item) { return item.snapshot.digest == snapshot.digest; });
        versions_.push_front({snapshot, {}});
        drop_old_versions();
    }
    for (auto& item : frames_) {
        if (item.digest == current().digest) {
            item.read_at = current().read_at;
            item.era = current().era;
        }
    }
}

void row_source::drop_old_versions() {
    std::size_t kept = 0;
    std::size_t bytes = 0;
    while (kept + 1 < versions_.size() && kept < kept_versions) {
        // Rows and their serialized form.
        bytes += 2 * bytes_of(versions_[kept + 1].snapshot);
        if (bytes > kept_bytes) {
            break;
        }
        ++kept;
    }
    versions_.resize(kept + 1);
}

row_reply row_source::answer(const row_query& query, boot_time now) {
    const auto age = [&](boot_time read_at) {
        return std::chrono::ceil<milliseconds>(now - read_at);
    };
    row_reply reply{true, current().digest, age(current().read_at), {}, current().era, {}};
    if (query.digest == current().digest) {
        return reply;
    }
    if (!query.accepts_pieces) {
        reply.rows = current().rows;
        return reply;
    }
    const auto* found = find_frame(query);
    if (found == nullptr) {
        const auto existing = std::find_if(frames_.begin(), frames_.end(), [&](const frame& item) {
            return item.digest == current().digest && item.base == query.digest;
        });
        found = existing != frames_.end() ? &*existing : &make_frame(query.digest);
    }
    // Another source may have sent the first pieces of the same frame.
    const bool continues =
        found->id == query.progress.frame && query.progress.received < found->bytes.size();
    const std::uint32_t offset = continues ? query.progress.received : 0;
    reply.digest = found->digest;
    reply.age = age(found->read_at);
    reply.era = found->era;
    reply.piece = row_piece{found->id, found->base, static_cast<std::uint32_t>(found->bytes.size()),
                            offset, found->bytes.substr(offset, piece_bytes)};
    return reply;
}

const row_source::frame* row_source::find_frame(const row_query& query) {
    const auto found = std::find_if(frames_.begin(), frames_.end(), [&](const frame& item) {
        return item.id == query.progress.frame && item.digest != query.digest &&
               (item.base == 0 || item.base == query.digest) &&
               query.progress.received < item.bytes.size();
    });
    return query.progress.frame == 0 || found == frames_.end() ? nullptr : &*found;
}

const row_source::frame& row_source::make_frame(std::uint64_t base) {
    frame made;
    made.digest = current().digest;
    made.read_at = current().read_at;
    made.era = current().era;
    auto* const older = find_version(base);
    made.base = older == nullptr ? 0 : base;
    const auto whole = std::find_if(frames_.begin(), frames_.end(), [&](const frame& item) {
        return older == nullptr && item.digest == made.digest && item.base == 0;
    });
    if (whole != frames_.end()) {
        return *whole;
    }
    const std::string nothing;
    made.bytes = compress_rows(serialized(versions_.front()),
                               older == nullptr ? nothing : serialized(*older));
    // Differences from two versions may be the same bytes.
    made.id = XXH3_64bits_withSeed(made.bytes.data(), made.bytes.size(), made.base ^ made.digest);
    frames_.push_front(std::move(made));
    drop_old_frames();
    return frames_.front();
}

void row_source::drop_old_frames() {
    std::size_t bytes = 0;
    const auto first_dropped =
        std::find_if(std::next(frames_.begin()), frames_.end(), [&](const frame& item) {
            bytes += item.bytes.size();
            return bytes > kept_frame_bytes;
        });
    frames_.erase(first_dropped, frames_.end());
}

row_source::version* row_source::find_version(std::uint64_t digest) {
    const auto found = std::find_if(versions_.begin(), versions_.end(), [&](const version& item) {
        return item.snapshot.digest == digest;
    });
    return found == versions_.end() ? nullptr : &*found;
}

const std::string& row_source::serialized(version& item) {
    if (item.serialized.empty()) {
        item.serialized = serialize_rows(item.snapshot.rows);
    }
    return item.serialized;
}

}  // namespace masticgrade

#include "masticgrade/rows/row_download.hpp"

#include "masticgrade/base/scope_guard.hpp"
#include "row_compression.hpp"

namespace masticgrade {

transfer_progress row_download::progress() const {
    return {frame_, static_cast<std::uint32_t>(bytes_.size())};
}

void row_download::add(const row_piece& piece) {
    if (piece.frame != frame_ || piece.base != base_ || piece.frame_size != size_) {
        if (piece.offset != 0 || piece.frame_size > max_row_bytes) {
            return;
        }
        reset();
        frame_ = piece.frame;
        base_ = piece.base;
        size_ = piece.frame_size;
    }
    if (piece.offset == bytes_.size() && piece.bytes.size() <= size_ - bytes_.size()) {
        bytes_ += piece.bytes;
    }
}

bool row_download::is_complete() const { return frame_ != 0 && bytes_.size() == size_; }

std::vector<table_row> row_download::take(const std::vector<table_row>& base) {
    const scope_guard start_over{[this] { reset(); }};
    return parse_rows(decompress_rows(bytes_, base_ == 0 ? std::string{} : serialize_rows(base)));
}

void row_download::reset() { *this = {}; }

}  // namespace masticgrade

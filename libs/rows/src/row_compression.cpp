#include "row_compression.hpp"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

#include "masticgrade/base/error.hpp"

namespace masticgrade {

namespace {

/// Compresses a configuration of 300 KB in some milliseconds on a core.
constexpr int compression_level = 3;
constexpr int min_window_log = 17;

struct context_deleter {
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

std::size_t check(std::size_t result, const char* step) {
    if (ZSTD_isError(result) != 0) {
        throw error(step, "", ZSTD_getErrorName(result));
    }
    return result;
}

}  // namespace

std::string compress_rows(std::string_view contents, std::string_view base) {
    constexpr const char* step = "compress rows";
    const std::unique_ptr<ZSTD_CCtx, context_deleter> context{ZSTD_createCCtx()};
    if (!context) {
        throw error(step, "", "out of memory");
    }
    // The window has to span the base and the contents, or the base's beginning is not used.
    const auto window_log = std::clamp(
        static_cast<int>(std::bit_width(contents.size() + base.size())), min_window_log, 26);
    check(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level), step);
    check(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log), step);
    check(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1), step);
    check(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size()), step);
    std::string frame(ZSTD_compressBound(contents.size()), '\0');
    frame.resize(check(
        ZSTD_compress2(context.get(), frame.data(), frame.size(), contents.data(), contents.size()),
        step));
    return frame;
}

std::string decompress_rows(std::string_view frame, std::string_view base) {
    constexpr const char* step = "decompress rows";
    const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR ||
        size > max_row_bytes) {
        throw error(step, "", "the frame has no valid size");
    }
    const std::unique_ptr<ZSTD_DCtx, context_deleter> context{ZSTD_createDCtx()};
    if (!context) {
        throw error(step, "", "out of memory");
    }
    check(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size()), step);
    std::string contents(size, '\0');
    const auto written = check(ZSTD_decompressDCtx(context.get(), contents.data(), contents.size(),
                                                   frame.data(), frame.size()),
                               step);
    if (written != size) {
        throw error(step, "", "the frame is incomplete");
    }
    return contents;
}

}  // namespace masticgrade

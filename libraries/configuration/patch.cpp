#include "configuration/patch.h"

#include <zstd.h>

#include <bit>
#include <memory>

namespace bramleytrack::configuration {
namespace {

// The window covers two texts, so that the end of a text can reference the beginning of the old
// one.
constexpr int window_log = std::bit_width(2 * max_text_size);
constexpr int compression_level = 6;

struct context_deleter {
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

}  // namespace

std::string make_patch(std::string_view base, std::string_view text) {
    const std::unique_ptr<ZSTD_CCtx, context_deleter> context{ZSTD_createCCtx()};
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string patch(ZSTD_compressBound(text.size()), '\0');
    const auto size =
        ZSTD_compress2(context.get(), patch.data(), patch.size(), text.data(), text.size());
    patch.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return patch;
}

std::optional<std::string> apply_patch(std::string_view base, std::string_view patch) {
    // A forged frame could claim a huge content size and exhaust memory. The size is checked before
    // the buffer is allocated, and the decoder never writes past it.
    const auto size = ZSTD_getFrameContentSize(patch.data(), patch.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR ||
        size > max_text_size) {
        return std::nullopt;
    }
    const std::unique_ptr<ZSTD_DCtx, context_deleter> context{ZSTD_createDCtx()};
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, window_log);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(size, '\0');
    const auto written =
        ZSTD_decompressDCtx(context.get(), text.data(), text.size(), patch.data(), patch.size());
    if (ZSTD_isError(written) != 0 || written != size) {
        return std::nullopt;
    }
    return text;
}

}  // namespace bramleytrack::configuration

// Fuzz target for frames from a peer. The input must decode to messages that survive a round trip, or fail with `malformed_frame`.
#include "transport/frame_codec.h"
#include "wisteriashunt/errors.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    wisteriashunt::frame_decoder decoder;
    try {
        for (const auto &content : decoder.feed({reinterpret_cast<const char *>(data), size})) {
            wisteriashunt::frame_decoder roundTripDecoder;
            if (roundTripDecoder.feed(wisteriashunt::encodeFrame(content)).at(0) != content) {
                std::abort();
            }
        }
    } catch (const wisteriashunt::shunt_error &error) {
        if (error.kind() != wisteriashunt::error_kind::malformed_frame) {
            std::abort();
        }
    }
    return 0;
}

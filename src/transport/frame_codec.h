/// Frames between entry and endpoint processes: a 4-byte big-endian length, then a msgpack array of message number and message.
#pragma once

#include "wisteriashunt/messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriashunt
{

/// Largest payload of a frame. A frame with a larger one is malformed.
constexpr std::size_t maxFrameBytes = 16U << 20U;

/// Returns the message as one frame.
[[nodiscard]] std::string encodeFrame(const message &content);

/// Splits a byte stream into messages.
class frame_decoder
{
public:
    /// Adds received bytes and returns the messages that are now complete. Throws `shunt_error` with `malformed_frame`;
    /// the stream is unusable afterwards.
    std::vector<message> feed(std::string_view bytes);

private:
    std::string m_buffer;
};

} // namespace wisteriashunt

/// Frames between our own processes: a 4-byte big-endian length, then a msgpack array of message number and message.
#pragma once

#include "wisteriashunt/messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace wisteriashunt
{

/// Largest payload of a frame in bytes. A larger one is a malformed frame.
constexpr std::size_t maxFrameBytes = 16U << 20U;

/// Returns the message as one frame.
[[nodiscard]] std::string encodeFrame(const message &content);

/// Cuts a byte stream into messages.
class frame_decoder
{
public:
    /// Adds received bytes and returns the messages that became complete. Throws `shunt_error` with `malformed_frame`; the stream is unusable afterwards.
    std::vector<message> feed(std::string_view bytes);

private:
    std::string m_buffer;
};

} // namespace wisteriashunt

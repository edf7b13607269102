/// Decoding of msgpack messages of peers.
#pragma once

#include <msgpack.hpp>
#include <string_view>

namespace wisteriashunt
{

/// Unpacks a message. Throws msgpack::unpack_error if the bytes are not valid msgpack. No array or map may announce more members than the
/// message has bytes: memory for all members is allocated before they are read.
[[nodiscard]] inline msgpack::object_handle unpackBounded(std::string_view bytes)
{
    constexpr std::size_t maxDepth = 16;
    const msgpack::unpack_limit limit(bytes.size(), bytes.size(), bytes.size(), bytes.size(), bytes.size(), maxDepth);
    return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
}

} // namespace wisteriashunt

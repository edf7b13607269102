#include "transport/frame_codec.h"

#include "wisteriashunt/errors.h"

#include <arpa/inet.h>
#include <cstring>
#include <functional>
#include <utility>

namespace wisteriashunt
{

namespace
{

constexpr std::size_t headerBytes = 4;
constexpr std::size_t maxContainerItems = 4096;
constexpr std::size_t maxNestingDepth = 16;

template<std::size_t Index = 0>
message unpackAs(std::size_t number, const msgpack::object &object)
{
    if constexpr (Index < std::variant_size_v<message>) {
        if (number == Index) {
            return message(std::in_place_index<Index>, object.as<std::variant_alternative_t<Index, message>>());
        }
        return unpackAs<Index + 1>(number, object);
    } else {
        throw shunt_error(error_kind::malformed_frame, "unknown message number " + std::to_string(number));
    }
}

message decodePayload(std::string_view payload)
{
    try {
        const msgpack::unpack_limit limit(maxContainerItems, maxContainerItems, maxFrameBytes, maxFrameBytes, 0, maxNestingDepth);
        std::size_t consumed = 0;
        const auto handle = msgpack::unpack(payload.data(), payload.size(), consumed, nullptr, nullptr, limit);
        const msgpack::object &object = handle.get();
        constexpr std::uint32_t parts = 2;
        if (object.type != msgpack::type::ARRAY || object.via.array.size != parts || consumed != payload.size()) {
            throw shunt_error(error_kind::malformed_frame, "expected a payload of one array of message number and message, found other or additional data");
        }
        return unpackAs(object.via.array.ptr[0].as<std::size_t>(), object.via.array.ptr[1]);
    } catch (const msgpack::unpack_error &error) {
        throw shunt_error(error_kind::malformed_frame, error.what());
    } catch (const std::bad_cast &error) {
        throw shunt_error(error_kind::malformed_frame, error.what());
    }
}

} // namespace

std::string encodeFrame(const message &content)
{
    msgpack::sbuffer buffer;
    const std::uint32_t placeholder = 0;
    buffer.write(reinterpret_cast<const char *>(&placeholder), headerBytes);
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(content.index());
    std::visit([&](const auto &concrete) { packer.pack(concrete); }, content);
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(buffer.size() - headerBytes));
    std::memcpy(buffer.data(), &length, headerBytes);
    return {buffer.data(), buffer.size()};
}

std::vector<message> frame_decoder::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::vector<message> messages;
    std::size_t position = 0;
    while (m_buffer.size() - position >= headerBytes) {
        std::uint32_t length = 0;
        std::memcpy(&length, m_buffer.data() + position, headerBytes);
        length = ntohl(length);
        if (length > maxFrameBytes) {
            throw shunt_error(error_kind::malformed_frame, "expected a frame of at most 16 MiB, found " + std::to_string(length) + " bytes");
        }
        if (m_buffer.size() - position - headerBytes < length) {
            break;
        }
        messages.push_back(decodePayload(std::string_view(m_buffer).substr(position + headerBytes, length)));
        position += headerBytes + length;
    }
    m_buffer.erase(0, position);
    return messages;
}

} // namespace wisteriashunt

#include "dispatch/request_fingerprint.h"

#include "membership/hash.h"

#include <array>
#include <charconv>
#include <initializer_list>

namespace wisteriashunt
{

std::uint64_t fingerprintOf(const request_identity &identity)
{
    std::uint64_t hash = 0;
    for (const auto part : {identity.method, identity.target, identity.workspace, identity.body}) {
        // The sizes keep a byte from moving between two parts unnoticed.
        hash = hashBytes(part, mixBits(hash ^ part.size()));
    }
    return hash;
}

std::string toHexadecimal(std::uint64_t fingerprint)
{
    constexpr int base = 16;
    std::array<char, 16> text{};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), fingerprint, base);
    return {text.data(), end};
}

} // namespace wisteriashunt

/// Hashes that are the same at every entry and in every build; std::hash differs between libraries.
#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>
#include <cstring>
#include <numeric>
#include <string_view>

namespace wisteriashunt
{

/// The finalizer of splitmix64.
[[nodiscard]] constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// FNV-1a.
[[nodiscard]] constexpr std::uint64_t hashText(std::string_view text)
{
    return std::accumulate(text.begin(), text.end(), std::uint64_t{14695981039346656037ULL}, [](std::uint64_t hash, char c) {
        return (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    });
}

/// Hashes eight bytes at a time, for texts of up to megabytes.
[[nodiscard]] inline std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    static_assert(std::endian::native == std::endian::little, "the hash must be the same at every entry");
    constexpr std::uint64_t multiplier = 0x9fb21c651e98df25ULL;
    std::uint64_t hash = seed;
    while (!bytes.empty()) {
        std::uint64_t word = 0;
        const auto size = std::min(sizeof(word), bytes.size());
        std::memcpy(&word, bytes.data(), size);
        bytes.remove_prefix(size);
        hash = (hash ^ word) * multiplier;
        hash ^= hash >> 32U;
    }
    return mixBits(hash);
}

} // namespace wisteriashunt

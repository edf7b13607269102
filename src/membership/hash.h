/// Hashes that are the same at every entry and in every build; std::hash differs between libraries.
#pragma once

#include <cstdint>
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

} // namespace wisteriashunt

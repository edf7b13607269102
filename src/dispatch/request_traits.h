/// What requests have in common that may crash the endpoints that run them.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <set>

namespace wisteriashunt
{

enum class trait_kind : std::uint8_t {
    /// A part of the prompt that other requests may share; identified as callers write it.
    prompt_part,
    /// The whole request; identified by its fingerprint, see fingerprintOf().
    whole_request,
};

/// One trait of a request.
struct request_trait
{
    trait_kind kind = trait_kind::prompt_part;
    std::uint64_t id = 0;

    /// Implicit: IDs without a kind are those of prompt parts.
    constexpr request_trait(std::uint64_t part = 0)
        : id(part)
    {
    }
    constexpr request_trait(trait_kind itsKind, std::uint64_t itsId)
        : kind(itsKind)
        , id(itsId)
    {
    }

    auto operator<=>(const request_trait &) const = default;
};

/// Traits of one request.
using trait_set = std::set<request_trait>;

[[nodiscard]] inline bool isSubset(const trait_set &traits, const trait_set &of)
{
    return std::includes(of.begin(), of.end(), traits.begin(), traits.end());
}

/// Returns the IDs of the traits of that kind.
[[nodiscard]] inline std::set<std::uint64_t> idsOf(trait_kind kind, const trait_set &traits)
{
    std::set<std::uint64_t> ids;
    for (const auto &trait : traits) {
        if (trait.kind == kind) {
            ids.insert(trait.id);
        }
    }
    return ids;
}

/// Returns the kind of a held combination, all of whose traits have the same.
[[nodiscard]] inline trait_kind kindOf(const trait_set &combination)
{
    return combination.empty() ? trait_kind::prompt_part : combination.begin()->kind;
}

} // namespace wisteriashunt

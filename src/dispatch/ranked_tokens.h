/// Prompt tokens by the rank of their requests.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <numeric>

namespace wisteriashunt
{

/// Numbers of tokens for the ranks from 0, the most urgent, to lowestRank. Less urgent requests count as lowestRank.
class ranked_tokens
{
public:
    static constexpr int lowestRank = 9;

    ranked_tokens() = default;
    ranked_tokens(int rank, std::int64_t tokens)
    {
        add(rank, tokens);
    }

    void add(int rank, std::int64_t tokens)
    {
        m_tokens[static_cast<std::size_t>(std::clamp(rank, 0, lowestRank))] += tokens;
    }
    /// Adds the tokens of each rank, or subtracts them if sign is -1.
    void add(const ranked_tokens &other, int sign = 1)
    {
        for (std::size_t i = 0; i < m_tokens.size(); ++i) {
            m_tokens[i] += sign * other.m_tokens[i];
        }
    }

    /// Returns the tokens of requests that are at least as urgent as the rank.
    [[nodiscard]] std::int64_t upTo(int rank) const
    {
        const auto end = m_tokens.begin() + std::clamp(rank, 0, lowestRank) + 1;
        return std::accumulate(m_tokens.begin(), end, std::int64_t{0});
    }
    [[nodiscard]] std::int64_t total() const
    {
        return upTo(lowestRank);
    }
    [[nodiscard]] std::int64_t ofRank(int rank) const
    {
        return m_tokens[static_cast<std::size_t>(std::clamp(rank, 0, lowestRank))];
    }
    bool operator==(const ranked_tokens &) const = default;

private:
    std::array<std::int64_t, lowestRank + 1> m_tokens{};
};

} // namespace wisteriashunt

/// Ranks the endpoints that may serve a request: first the one that last served the same prefix, if it has capacity, then by the power of
/// two choices.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisteriashunt
{

/// An endpoint that may serve a request, with its reported load.
struct rank_candidate
{
    std::string name;
    std::uint32_t running = 0;
    std::uint32_t limit = 0;
};

/// Settings of an endpoint_ranker.
struct ranker_options
{
    /// Maximum number of prefixes that are kept.
    std::size_t prefixCapacity = 16384;
    /// Affinity is ignored if the endpoint's load reaches this share of its concurrency limit.
    double affinityLoadLimit = 0.85;
    bool useAffinity = true;
};

/// Records where prefixes were placed. Engine cache events arrive late and with gaps, so the placement history is the primary signal.
class endpoint_ranker
{
public:
    /// `random` returns a uniformly distributed number below its argument.
    endpoint_ranker(const ranker_options &options, std::function<std::uint64_t(std::uint64_t)> random);

    /// Returns the names of the candidates, best first. A `prefixHash` of 0 stands for no prefix.
    [[nodiscard]] std::vector<std::string> rank(const std::vector<rank_candidate> &candidates, std::uint64_t prefixHash);

    /// Records that a request with the prefix was bound to the endpoint.
    void onBound(std::uint64_t prefixHash, const std::string &endpointName);

    /// Adds a reservation to the load of the endpoint until its next load report.
    void onReserved(const std::string &endpointName);

    /// Clears the reservations added since the previous load report.
    void onLoadReport(const std::string &endpointName);

    /// Removes the endpoint from the placement history, because it lost its cached prefixes or was replaced.
    void forgetEndpoint(const std::string &endpointName);

private:
    [[nodiscard]] double loadOf(const rank_candidate &candidate) const;

    ranker_options m_options;
    std::function<std::uint64_t(std::uint64_t)> m_random;
    std::list<std::pair<std::uint64_t, std::string>> m_recent;
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, std::string>>::iterator> m_byPrefix;
    std::map<std::string, std::uint32_t> m_unreportedReservations;
};

} // namespace wisteriashunt

/// Ranks the endpoints that may serve a request: prefix affinity first where there is room, then the lighter of two.
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
    /// Prefixes that are remembered.
    std::size_t prefixCapacity = 16384;
    /// An endpoint loaded above this share of its limit loses its affinity bonus.
    double affinityLoadLimit = 0.85;
    bool useAffinity = true;
};

/// Remembers where prefixes were placed. The engines' own cache events come late and with gaps, so the placement history is the main signal.
class endpoint_ranker
{
public:
    /// `random` returns a uniform number below its argument.
    endpoint_ranker(const ranker_options &options, std::function<std::uint64_t(std::uint64_t)> random);

    /// Returns the names, best first.
    [[nodiscard]] std::vector<std::string> rank(const std::vector<rank_candidate> &candidates, std::uint64_t prefixHash);

    /// Records that a request with the prefix was bound to the endpoint.
    void onBound(std::uint64_t prefixHash, const std::string &endpointName);

    /// Counts a reservation until the endpoint's next load report makes it visible.
    void onReserved(const std::string &endpointName);

    /// Forgets the reservations counted before a load report.
    void onLoadReport(const std::string &endpointName);

    /// Corrects the history: the endpoint has dropped the prefix or was replaced.
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

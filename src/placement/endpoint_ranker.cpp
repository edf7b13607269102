#include "placement/endpoint_ranker.h"

#include <algorithm>

namespace wisteriashunt
{

endpoint_ranker::endpoint_ranker(const ranker_options &options, std::function<std::uint64_t(std::uint64_t)> random)
    : m_options(options)
    , m_random(std::move(random))
{
}

double endpoint_ranker::loadOf(const rank_candidate &candidate) const
{
    const auto unreported = m_unreportedReservations.find(candidate.name);
    const double running = candidate.running + (unreported == m_unreportedReservations.end() ? 0.0 : unreported->second);
    return running / std::max(1U, candidate.limit);
}

std::vector<std::string> endpoint_ranker::rank(const std::vector<rank_candidate> &candidates, std::uint64_t prefixHash)
{
    std::vector<std::size_t> order(candidates.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
        std::swap(order[i], order[m_random(i + 1)]);
    }
    // The less loaded of two random endpoints comes first. If the least loaded of all were preferred, every entry would pick the same endpoint
    // between two load reports.
    if (order.size() > 1 && loadOf(candidates[order[1]]) < loadOf(candidates[order[0]])) {
        std::swap(order[0], order[1]);
    }
    const auto known = m_byPrefix.find(prefixHash);
    if (m_options.useAffinity && prefixHash != 0 && known != m_byPrefix.end()) {
        const auto preferred = std::find_if(order.begin(), order.end(), [&](std::size_t i) { return candidates[i].name == known->second->second; });
        if (preferred != order.end() && loadOf(candidates[*preferred]) < m_options.affinityLoadLimit) {
            std::rotate(order.begin(), preferred, preferred + 1);
        }
    }
    std::vector<std::string> names;
    names.reserve(order.size());
    for (const std::size_t i : order) {
        names.push_back(candidates[i].name);
    }
    return names;
}

void endpoint_ranker::onBound(std::uint64_t prefixHash, const std::string &endpointName)
{
    if (prefixHash == 0) {
        return;
    }
    const auto known = m_byPrefix.find(prefixHash);
    if (known != m_byPrefix.end()) {
        m_recent.erase(known->second);
        m_byPrefix.erase(known);
    }
    m_recent.emplace_front(prefixHash, endpointName);
    m_byPrefix[prefixHash] = m_recent.begin();
    if (m_recent.size() > m_options.prefixCapacity) {
        m_byPrefix.erase(m_recent.back().first);
        m_recent.pop_back();
    }
}

void endpoint_ranker::onReserved(const std::string &endpointName)
{
    ++m_unreportedReservations[endpointName];
}

void endpoint_ranker::onLoadReport(const std::string &endpointName)
{
    m_unreportedReservations.erase(endpointName);
}

void endpoint_ranker::forgetEndpoint(const std::string &endpointName)
{
    for (auto it = m_recent.begin(); it != m_recent.end();) {
        if (it->second == endpointName) {
            m_byPrefix.erase(it->first);
            it = m_recent.erase(it);
        } else {
            ++it;
        }
    }
}

} // namespace wisteriashunt

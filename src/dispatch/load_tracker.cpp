#include "dispatch/load_tracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriashunt
{

namespace
{

constexpr double minSlowness = 0.7;
constexpr double maxSlowness = 6;

/// Name under which the sum of other zones is kept.
const std::string relayedName = "other zones";

/// Half-life of an endpoint's observed slowness. Without decay, an endpoint that was slow once would get no more work and never recover.
constexpr double slownessHalfLifeSeconds = 2;

double decayedSlowness(double factor, duration age)
{
    return 1 + (factor - 1) * std::exp2(-toSeconds(age) / slownessHalfLifeSeconds);
}

/// Time constant of the moving average of the short-prompt token rate.
constexpr double rateTimeConstantSeconds = 1;

/// Number of prompt parts above which expired ones are discarded.
constexpr std::size_t maxTrackedParts = 4096;

/// Most placements per digest; more than a burst produces within one digest period.
constexpr std::size_t maxPlacementsInDigest = 256;

/// Recent tokens below this number are omitted from digests; they amount to two milliseconds of prefill.
constexpr std::int64_t minReportedRecentTokens = 100;

/// Time after which the state of an endpoint without load is discarded; by then its slowness has decayed.
constexpr std::chrono::seconds endpointStateLifetime{30};

} // namespace

load_tracker::load_tracker(const load_tracker_options &options)
    : m_options(options)
    , m_peers({.digestLifetime = options.digestLifetime, .recentTokensDecayTime = options.recentTokensDecayTime, .heldAtMost = options.silentLifetime})
    , m_otherZones({.digestLifetime = options.digestLifetime,
                    .recentTokensDecayTime = options.recentTokensDecayTime,
                    .heldAtMost = options.silentLifetime,
                    .followsHeardLoad = false})
{
}

void load_tracker::onSent(const sent_work &work)
{
    auto &load = m_endpoints[work.endpointId].load;
    ++m_ownRequests;
    ++load.waiting;
    load.waitingTokens.add(work.rank, work.uncachedTokens);
    ++(work.isLongPrompt ? load.longPrompts : load.shortPrompts);
    load.longPromptTokens.add(work.rank, work.isLongPrompt ? work.uncachedTokens : 0);
}

void load_tracker::onFirstByte(const sent_work &work)
{
    auto &load = m_endpoints[work.endpointId].load;
    --load.waiting;
    load.waitingTokens.add(work.rank, -work.uncachedTokens);
}

void load_tracker::onFinished(const sent_work &work, bool hadFirstByte)
{
    if (!hadFirstByte) {
        onFirstByte(work);
    }
    auto &load = m_endpoints[work.endpointId].load;
    --m_ownRequests;
    --(work.isLongPrompt ? load.longPrompts : load.shortPrompts);
    load.longPromptTokens.add(work.rank, work.isLongPrompt ? -work.uncachedTokens : 0);
}

void load_tracker::recordPrefill(const std::string &endpointId, std::int64_t tokens, time_point now)
{
    auto &known = m_endpoints[endpointId];
    known.recentTokens = decayed(known.recentTokens, now - known.recentAt) + static_cast<double>(tokens);
    known.recentAt = now;
}

void load_tracker::recordParts(const std::vector<prompt_part> &prompt, const std::string &endpointId, time_point now)
{
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        recordPart(prompt[i].id, endpointId, now);
        if (m_newPlacements.size() < maxPlacementsInDigest) {
            m_newPlacements.push_back({.part = prompt[i].id, .endpointId = endpointId});
        }
    }
}

void load_tracker::recordShortPrompt(const std::string &service, std::int64_t tokens, time_point now)
{
    auto &rate = m_shortPromptRates[service];
    decayRate(rate, now);
    rate.tokensPerSecond += static_cast<double>(tokens) / rateTimeConstantSeconds;
}

void load_tracker::recordSlowness(const std::string &endpointId, double ratioToPrediction, time_point now)
{
    const double ratio = std::clamp(ratioToPrediction, minSlowness, maxSlowness);
    const double factor = slownessOf(endpointId, now) * (1 + m_options.slownessSmoothing * (ratio - 1));
    auto &known = m_endpoints[endpointId];
    known.slowness = std::clamp(factor, minSlowness, maxSlowness);
    known.slownessAt = now;
}

void load_tracker::recordLongPromptSlowness(
    const std::string &service, const std::string &endpointId, double ratioToPrediction, double assumedSlowness, time_point now)
{
    const double ratio = std::clamp(ratioToPrediction, minSlowness, maxSlowness);
    auto &endpoint = m_endpoints[endpointId];
    endpoint.slowness = std::clamp(assumedSlowness * (1 + m_options.slownessSmoothing * (ratio - 1)), minSlowness, maxSlowness);
    endpoint.slownessAt = now;
    endpoint.longPromptAt = now;
    auto &known = m_serviceSlowness[service];
    const double before = decayedSlowness(known.factor, now - known.at);
    known.factor = before + m_options.serviceSlownessSmoothing * (std::clamp(assumedSlowness * ratio, minSlowness, maxSlowness) - before);
    known.at = now;
}

double load_tracker::longPromptSlownessOf(const std::string &service, const std::string &endpointId, time_point now) const
{
    const auto endpoint = m_endpoints.find(endpointId);
    if (endpoint != m_endpoints.end() && now - endpoint->second.longPromptAt < m_options.slownessLifetime) {
        return slownessOf(endpointId, now);
    }
    const auto known = m_serviceSlowness.find(service);
    return known == m_serviceSlowness.end() ? slownessOf(endpointId, now) : decayedSlowness(known->second.factor, now - known->second.at);
}

void load_tracker::recordPart(std::uint64_t part, const std::string &endpointId, time_point now)
{
    if (m_parts.size() > maxTrackedParts) {
        std::erase_if(m_parts, [&](const auto &known) {
            return std::all_of(known.second.begin(), known.second.end(), [&](const auto &use) { return now - use.second > m_options.partLifetime; });
        });
    }
    m_parts[part][endpointId] = now;
}

load_digest load_tracker::digest(time_point now)
{
    // Discards the state of idle endpoints, since endpoints come and go and the map would otherwise grow without bound.
    std::erase_if(m_endpoints, [&](const auto &each) {
        const auto &known = each.second;
        return known.load == endpoint_load{} && now - std::max(known.recentAt, known.slownessAt) > endpointStateLifetime;
    });
    load_digest result;
    for (const auto &[id, known] : m_endpoints) {
        auto load = known.load;
        const auto recent = static_cast<std::int64_t>(decayed(known.recentTokens, now - known.recentAt));
        load.recentTokens = recent < minReportedRecentTokens ? 0 : recent;
        if (load != endpoint_load{}) {
            result.endpoints[id] = load;
        }
    }
    for (auto &[service, rate] : m_shortPromptRates) {
        decayRate(rate, now);
        if (rate.tokensPerSecond > 1) {
            result.shortPromptTokensPerSecond[service] = rate.tokensPerSecond;
        }
    }
    result.placements = std::exchange(m_newPlacements, {});
    return result;
}

void load_tracker::expirePeers(time_point now)
{
    m_peers.setOwnRequests(m_ownRequests);
    m_peers.expire(now);
    m_otherZones.expire(now);
}

void load_tracker::onPeerDigest(const std::string &peer, load_digest digest, time_point now)
{
    for (const auto &placed : digest.placements) {
        recordPart(placed.part, placed.endpointId, now);
    }
    m_peers.setOwnRequests(m_ownRequests);
    m_peers.onDigest(peer, std::move(digest), now);
}

void load_tracker::onRelayedLoad(load_digest digest, time_point now)
{
    for (const auto &placed : digest.placements) {
        recordPart(placed.part, placed.endpointId, now);
    }
    m_otherZones.onDigest(relayedName, std::move(digest), now);
}

std::size_t load_tracker::liveEntries(time_point now)
{
    expirePeers(now);
    return 1 + m_peers.size();
}

std::size_t load_tracker::silentPeers(time_point now)
{
    expirePeers(now);
    return m_peers.silentPeers();
}

endpoint_load load_tracker::loadOf(const std::string &endpointId, time_point now)
{
    expirePeers(now);
    endpoint_load sum;
    double recent = 0;
    if (const auto own = m_endpoints.find(endpointId); own != m_endpoints.end()) {
        sum.add(own->second.load);
        recent += decayed(own->second.recentTokens, now - own->second.recentAt);
    }
    recent += m_peers.addTo(sum, endpointId, now) + m_otherZones.addTo(sum, endpointId, now);
    sum.recentTokens = static_cast<std::int64_t>(recent);
    return sum;
}

int load_tracker::shortPromptsAt(const std::string &endpointId, time_point now)
{
    expirePeers(now);
    const auto own = m_endpoints.find(endpointId);
    return (own == m_endpoints.end() ? 0 : own->second.load.shortPrompts) + m_peers.shortPromptsAt(endpointId) + m_otherZones.shortPromptsAt(endpointId);
}

double load_tracker::slownessOf(const std::string &endpointId, time_point now) const
{
    const auto known = m_endpoints.find(endpointId);
    if (known == m_endpoints.end() || known->second.slowness == 1) {
        return 1;
    }
    return decayedSlowness(known->second.slowness, now - known->second.slownessAt);
}

std::int64_t load_tracker::cachedTokens(const std::vector<prompt_part> &prompt, const std::string &endpointId, time_point now) const
{
    std::int64_t cached = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        const auto uses = m_parts.find(prompt[i].id);
        if (uses == m_parts.end()) {
            break;
        }
        const auto use = uses->second.find(endpointId);
        if (use == uses->second.end() || now - use->second > m_options.partLifetime) {
            break;
        }
        cached += prompt[i].tokens;
    }
    return cached;
}

double load_tracker::shortPromptTokensPerSecond(const std::string &service, time_point now)
{
    expirePeers(now);
    auto &own = m_shortPromptRates[service];
    decayRate(own, now);
    return own.tokensPerSecond + m_peers.shortPromptTokensPerSecond(service) + m_otherZones.shortPromptTokensPerSecond(service);
}

void load_tracker::decayRate(token_rate &rate, time_point now) const
{
    rate.tokensPerSecond *= std::exp(-toSeconds(now - rate.at) / rateTimeConstantSeconds);
    rate.at = now;
}

double load_tracker::decayed(double tokens, duration age) const
{
    return tokens * std::exp(-toSeconds(age) / toSeconds(m_options.recentTokensDecayTime));
}

} // namespace wisteriashunt

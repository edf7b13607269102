#include "dispatch/peer_loads.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// Added to the mean numbers of requests before they are compared, so that a few requests more or less mean little.
constexpr double requestsOfNoise = 2;

/// Most by which a held load is raised or lowered. A digest of little load says little of a time of much.
constexpr double maxHeldFactor = 3;

/// Time between two looks through the silent peers.
constexpr std::chrono::milliseconds silentCheckPeriod{50};

int scaled(int value, double factor)
{
    return static_cast<int>(std::lround(value * factor));
}

endpoint_load scaled(const endpoint_load &load, double factor)
{
    const auto scaledTokens = [factor](const ranked_tokens &tokens) {
        ranked_tokens result;
        for (int rank = 0; rank <= ranked_tokens::lowestRank; ++rank) {
            result.add(rank, std::llround(static_cast<double>(tokens.ofRank(rank)) * factor));
        }
        return result;
    };
    return {.waiting = scaled(load.waiting, factor),
            .waitingTokens = scaledTokens(load.waitingTokens),
            .shortPrompts = scaled(load.shortPrompts, factor),
            .longPrompts = scaled(load.longPrompts, factor),
            .longPromptTokens = scaledTokens(load.longPromptTokens)};
}

} // namespace

peer_loads::peer_loads(const peer_loads_options &options)
    : m_options(options)
{
}

double peer_loads::decayed(double tokens, duration age) const
{
    return tokens * std::exp(-toSeconds(age) / toSeconds(m_options.recentTokensDecayTime));
}

void peer_loads::setOwnRequests(int requests)
{
    m_ownRequests = requests;
}

void peer_loads::onDigest(const std::string &peer, load_digest digest, time_point now)
{
    expire(now);
    const double factor = heldFactor();
    const bool wasHeard = m_peers.contains(peer);
    forget(peer, now);
    for (const auto &named : digest.heardEntries) {
        if (const auto silent = m_silent.find(named); silent != m_silent.end()) {
            silent->second.namedAt = now;
        }
    }
    digest.heardEntries.clear();
    digest.placements.clear();
    apply(m_heardSums, digest, 1, {}, now);
    m_peers[peer] = {.digest = std::move(digest), .receivedAt = now, .namedAt = now};
    if (!wasHeard) {
        keepFactor(factor);
    }
    m_received.emplace_back(now, peer);
}

void peer_loads::forget(const std::string &peer, time_point now)
{
    if (const auto known = m_peers.extract(peer); !known.empty()) {
        apply(m_heardSums, known.mapped().digest, -1, now - known.mapped().receivedAt, now);
    }
    if (const auto silent = m_silent.find(peer); silent != m_silent.end()) {
        forgetSilent(silent, now);
    }
}

void peer_loads::hold(const std::string &peer, time_point now)
{
    const double factor = heldFactor();
    auto known = m_peers.extract(peer);
    auto &state = known.mapped();
    apply(m_heardSums, state.digest, -1, now - state.receivedAt, now);
    keepFactor(factor);
    // An entry that leaves tells its load until it ends.
    if (state.digest.isSenderLeaving) {
        return;
    }
    apply(m_silentSums, state.digest, 1, {}, now);
    m_silent.insert(std::move(known));
    m_silentCheckedAt = {};
}

void peer_loads::forgetSilent(peer_map::iterator peer, time_point now)
{
    apply(m_silentSums, peer->second.digest, -1, {}, now);
    m_silent.erase(peer);
}

bool peer_loads::hasEnded(const peer_state &silent, time_point now) const
{
    const auto age = now - silent.receivedAt;
    if (age < m_options.endedAfter || age >= m_options.heldAtMost) {
        return age >= m_options.heldAtMost;
    }
    const auto known = static_cast<double>(m_peers.size() + m_silent.size());
    const bool areManySilent = m_silent.size() > 1 && static_cast<double>(m_silent.size()) >= m_options.cutOffShare * known;
    return !m_peers.empty() && !areManySilent && now - silent.namedAt >= m_options.digestLifetime;
}

void peer_loads::expire(time_point now)
{
    while (!m_received.empty() && now - m_received.front().first >= m_options.digestLifetime) {
        const auto [receivedAt, peer] = m_received.front();
        m_received.pop_front();
        const auto known = m_peers.find(peer);
        if (known != m_peers.end() && known->second.receivedAt == receivedAt) {
            hold(peer, now);
        }
    }
    if (m_silent.empty() || now - m_silentCheckedAt < silentCheckPeriod) {
        return;
    }
    m_silentCheckedAt = now;
    std::vector<std::string> ended;
    for (const auto &[peer, state] : m_silent) {
        if (hasEnded(state, now)) {
            ended.push_back(peer);
        }
    }
    for (const auto &peer : ended) {
        forgetSilent(m_silent.find(peer), now);
    }
}

void peer_loads::apply(load_sums &sums, const load_digest &digest, int sign, duration age, time_point now) const
{
    for (const auto &[id, load] : digest.endpoints) {
        auto &sum = sums.endpoints[id];
        sums.requests += sign * load.total();
        sum.digests += sign;
        if (sum.digests == 0) {
            sums.endpoints.erase(id);
            continue;
        }
        sum.load.add(load, sign);
        if (&sums == &m_silentSums) {
            // What is held goes on, so recent tokens are as many as they were.
            sum.recentTokens += sign * static_cast<double>(load.recentTokens);
            continue;
        }
        const double recent = decayed(static_cast<double>(load.recentTokens), age);
        sum.recentTokens = decayed(sum.recentTokens, now - sum.recentAt) + sign * recent;
        sum.recentAt = now;
    }
    for (const auto &[service, rate] : digest.shortPromptTokensPerSecond) {
        auto &sum = sums.rates[service];
        sum.digests += sign;
        sum.tokensPerSecond += sign * rate;
        if (sum.digests == 0) {
            sums.rates.erase(service);
        }
    }
}

double peer_loads::meanRequests() const
{
    return static_cast<double>(m_ownRequests + m_heardSums.requests) / static_cast<double>(1 + m_peers.size());
}

double peer_loads::heldFactor() const
{
    if (!m_options.followsHeardLoad || m_silent.empty()) {
        return 1;
    }
    return std::clamp((meanRequests() + requestsOfNoise) / (m_meanBefore + requestsOfNoise), 1 / maxHeldFactor, maxHeldFactor);
}

void peer_loads::keepFactor(double before)
{
    m_meanBefore = (meanRequests() + requestsOfNoise) / before - requestsOfNoise;
}

double peer_loads::addTo(endpoint_load &sum, const std::string &endpointId, time_point now) const
{
    double recent = 0;
    if (const auto heard = m_heardSums.endpoints.find(endpointId); heard != m_heardSums.endpoints.end()) {
        sum.add(heard->second.load);
        recent += decayed(heard->second.recentTokens, now - heard->second.recentAt);
    }
    if (const auto held = m_silentSums.endpoints.find(endpointId); held != m_silentSums.endpoints.end()) {
        const double factor = heldFactor();
        sum.add(scaled(held->second.load, factor));
        recent += held->second.recentTokens * factor;
    }
    return recent;
}

load_digest peer_loads::sum(time_point now)
{
    expire(now);
    load_digest result;
    const auto addAll = [&](const load_sums &sums) {
        for (const auto &[id, known] : sums.endpoints) {
            result.endpoints.try_emplace(id);
        }
        for (const auto &[service, rate] : sums.rates) {
            result.shortPromptTokensPerSecond[service] = shortPromptTokensPerSecond(service);
        }
    };
    addAll(m_heardSums);
    addAll(m_silentSums);
    for (auto &[id, load] : result.endpoints) {
        const double recent = addTo(load, id, now);
        load.recentTokens = static_cast<std::int64_t>(recent);
    }
    std::erase_if(result.endpoints, [](const auto &each) { return each.second == endpoint_load{}; });
    return result;
}

int peer_loads::shortPromptsAt(const std::string &endpointId) const
{
    const auto heard = m_heardSums.endpoints.find(endpointId);
    const auto held = m_silentSums.endpoints.find(endpointId);
    return (heard == m_heardSums.endpoints.end() ? 0 : heard->second.load.shortPrompts)
        + (held == m_silentSums.endpoints.end() ? 0 : scaled(held->second.load.shortPrompts, heldFactor()));
}

double peer_loads::shortPromptTokensPerSecond(const std::string &service) const
{
    const auto heard = m_heardSums.rates.find(service);
    const auto held = m_silentSums.rates.find(service);
    return (heard == m_heardSums.rates.end() ? 0 : heard->second.tokensPerSecond)
        + (held == m_silentSums.rates.end() ? 0 : held->second.tokensPerSecond * heldFactor());
}

duration peer_loads::oldestAge(time_point now) const
{
    duration oldest{};
    for (const auto *peers : {&m_peers, &m_silent}) {
        for (const auto &[name, peer] : *peers) {
            oldest = std::max(oldest, now - peer.receivedAt);
        }
    }
    return oldest;
}

} // namespace wisteriashunt

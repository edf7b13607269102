#include "dispatch/stream_versions.h"

#include "membership/hash.h"

#include <algorithm>

namespace wisteriashunt
{

namespace
{

/// Time between two searches for streams that can no longer be taken up.
constexpr std::chrono::seconds discardPeriod{1};

/// Time between two looks at the listed versions because of messages of peers.
constexpr std::chrono::milliseconds observationPeriod{100};

std::uint64_t streamHash(const std::string &attemptId)
{
    return mixBits(hashText(attemptId));
}

} // namespace

stream_versions::stream_versions(const endpoint_roster &roster, const stream_version_options &options)
    : m_roster(roster)
    , m_options(options)
{
}

void stream_versions::record(std::uint64_t stream, const stream_origin &origin, time_point expiresAt, time_point now)
{
    // Other streams may have begun there as well, also if the list has not shown this version yet or does so no longer.
    m_lastListed[origin] = now;
    remember(stream, origin, expiresAt, now);
}

void stream_versions::remember(std::uint64_t stream, const stream_origin &origin, time_point expiresAt, time_point now)
{
    discardExpired(now);
    if (m_streams.size() < m_options.maxStreams || m_streams.contains(stream)) {
        m_streams[stream] = {.origin = &*m_origins.insert(origin).first, .expiresAt = expiresAt};
    }
}

void stream_versions::onBegun(const std::string &attemptId, const stream_origin &origin, duration timeLeft, time_point now)
{
    const auto stream = streamHash(attemptId);
    record(stream, origin, now + timeLeft, now);
    if (m_streams.contains(stream)) {
        m_pending.push_back({.stream = stream, .repetitions = m_options.repetitions});
        addOwn({.stream = stream});
    }
}

void stream_versions::addOwn(const own_stream &own)
{
    m_own.push_back(own);
    if (m_own.size() > m_options.maxStoredStreams) {
        m_own.pop_front();
    }
}

bool stream_versions::hasUnstored(time_point now) const
{
    return hasServiceOfSeveralVersions()
        && std::any_of(m_own.begin(), m_own.end(), [&](const own_stream &own) { return !own.isTaken && isToBeStored(own.stream, now); });
}

bool stream_versions::isToBeStored(std::uint64_t stream, time_point now) const
{
    const auto known = m_streams.find(stream);
    return known != m_streams.end() && known->second.expiresAt >= now && versionsOf(known->second.origin->service).size() > 1;
}

std::vector<begun_stream> stream_versions::takeUnstored(time_point now)
{
    std::vector<begun_stream> taken;
    for (auto &own : m_own) {
        if (isToBeStored(own.stream, now)) {
            const auto &known = m_streams.at(own.stream);
            taken.push_back({.stream = own.stream, .origin = *known.origin, .timeLeft = known.expiresAt - now});
            own.isTaken = true;
        }
    }
    return taken;
}

void stream_versions::onStoreFailed()
{
    for (auto &own : m_own) {
        own.isTaken = false;
    }
}

void stream_versions::onStored(const std::vector<begun_stream> &streams, bool isOwn, time_point now)
{
    for (const auto &stored : streams) {
        if (m_streams.contains(stored.stream)) {
            continue;
        }
        remember(stored.stream, stored.origin, now + stored.timeLeft, now);
        if (isOwn && m_streams.contains(stored.stream)) {
            addOwn({.stream = stored.stream, .isTaken = true});
        }
    }
}

void stream_versions::discardExpired(time_point now)
{
    if (now - m_discardedAt < discardPeriod) {
        return;
    }
    m_discardedAt = now;
    std::erase_if(m_streams, [now](const auto &known) { return known.second.expiresAt < now; });
    std::erase_if(m_pending, [this](const pending_stream &pending) { return !m_streams.contains(pending.stream); });
    std::erase_if(m_own, [this](const own_stream &own) { return !m_streams.contains(own.stream); });
    if (m_streams.empty()) {
        m_origins.clear();
    }
}

void stream_versions::observeVersions(time_point now)
{
    if (m_observedAt != time_point{} && now - m_observedAt > m_options.maxPause) {
        m_pausedAt = now;
    }
    m_observedAt = now;
    for (const auto &[service, endpoints] : m_roster.services()) {
        for (const auto &endpoint : endpoints) {
            m_lastListed[{.service = service, .softwareVersion = endpoint->record.softwareVersion}] = now;
        }
    }
    const auto readAt = m_lastListed.empty() ? std::nullopt : listReadAt ? listReadAt() : std::optional(now);
    const bool hasGap = readAt && listReadAt && *readAt - m_listReadAt > m_options.maxListAge;
    if (readAt && (!m_knownSince || hasGap)) {
        m_gapAt = m_knownSince ? std::optional(now) : std::nullopt;
        m_knownSince = readAt;
        m_ownSince = *readAt;
    }
    m_listReadAt = std::max(m_listReadAt, readAt.value_or(m_listReadAt));
    m_listAskedAt = listAskedAt ? std::max(m_listAskedAt, listAskedAt()) : m_listReadAt;
    std::erase_if(m_lastListed, [&](const auto &version) { return now - version.second > m_options.history; });
}

bool stream_versions::isListCurrent(time_point now) const
{
    return !listReadAt || now - m_listReadAt <= m_options.maxListAge;
}

bool stream_versions::isHistoryWhole(time_point now) const
{
    return m_knownSince && now - *m_knownSince >= m_options.history && isListCurrent(now);
}

std::vector<const stream_origin *> stream_versions::versionsOf(const std::string &service) const
{
    std::vector<const stream_origin *> versions;
    for (auto version = m_lastListed.lower_bound({.service = service}); version != m_lastListed.end() && version->first.service == service; ++version) {
        versions.push_back(&version->first);
    }
    return versions;
}

void stream_versions::onListed(const stream_origin &version, time_point now)
{
    m_lastListed[version] = now;
}

const stream_origin *stream_versions::recordedOrigin(const std::string &attemptId, time_point now) const
{
    const auto known = attemptId.empty() ? m_streams.end() : m_streams.find(streamHash(attemptId));
    return known != m_streams.end() && known->second.expiresAt >= now ? known->second.origin : nullptr;
}

std::optional<stream_origin> stream_versions::onlyVersionOf(const std::string &service, time_point now)
{
    observeVersions(now);
    const auto versions = versionsOf(service);
    return versions.size() == 1 && isHistoryWhole(now) ? std::optional(*versions.front()) : std::nullopt;
}

bool stream_versions::needsReading(const std::string &attemptId, const std::string &service, time_point now)
{
    return listReadAt && recordedOrigin(attemptId, now) == nullptr && onlyVersionOf(service, now).has_value();
}

std::optional<stream_origin> stream_versions::originOf(const std::string &attemptId, const std::string &service, time_point now)
{
    const auto *recorded = recordedOrigin(attemptId, now);
    return recorded != nullptr ? std::optional(*recorded) : onlyVersionOf(service, now);
}

void stream_versions::onPassedOver(const std::optional<stream_digest> &peer, time_point now)
{
    const auto peerSince = peer ? now - peer->knownFor : now;
    const bool isFilled = m_knownSince && peerSince <= m_listAskedAt;
    if (!isFilled) {
        m_gapAt = now;
        m_knownSince = peerSince;
        m_ownSince = now;
    }
    if (peer) {
        onPeerVersions(*peer, now);
    }
}

void stream_versions::onPeerVersions(const stream_digest &digest, time_point now)
{
    noteListed(digest.versions, now);
    noteListed(digest.partialVersions, now);
}

std::vector<begun_stream> stream_versions::takePending(time_point now)
{
    std::vector<begun_stream> taken;
    std::deque<pending_stream> left;
    for (auto pending : m_pending) {
        const auto known = m_streams.find(pending.stream);
        if (known == m_streams.end()) {
            continue;
        }
        const bool isNeeded = !isHistoryWhole(now) || versionsOf(known->second.origin->service).size() > 1;
        if (isNeeded && taken.size() < m_options.maxBegunInDigest) {
            taken.push_back({.stream = pending.stream, .origin = *known->second.origin, .timeLeft = std::max<duration>(known->second.expiresAt - now, {})});
            --pending.repetitions;
        }
        if (pending.repetitions > 0) {
            left.push_back(pending);
        }
    }
    m_pending = std::move(left);
    return taken;
}

bool stream_versions::hasServiceOfSeveralVersions() const
{
    const auto isSameService = [](const auto &left, const auto &right) { return left.first.service == right.first.service; };
    return std::adjacent_find(m_lastListed.begin(), m_lastListed.end(), isSameService) != m_lastListed.end();
}

bool stream_versions::isAnyOriginAmbiguous(time_point now) const
{
    return !isHistoryWhole(now) || hasServiceOfSeveralVersions();
}

bool stream_versions::hasNews(time_point now) const
{
    return !m_pending.empty() && isAnyOriginAmbiguous(now);
}

stream_digest stream_versions::digest(time_point now)
{
    auto result = knowledge(now);
    discardExpired(now);
    if (isAnyOriginAmbiguous(now)) {
        result.begun = takePending(now);
    }
    return result;
}

stream_digest stream_versions::knowledge(time_point now)
{
    observeVersions(now);
    stream_digest result;
    auto &versions = isHistoryWhole(now) ? result.versions : result.partialVersions;
    for (const auto &[version, listedAt] : m_lastListed) {
        versions.push_back({.version = version, .age = std::max<duration>(now - listedAt, {})});
    }
    result.knownFor = m_knownSince ? std::max<duration>(now - *m_knownSince, {}) : duration{};
    result.listAge = std::max<duration>(now - m_listAskedAt, {});
    return result;
}

void stream_versions::onPeerDigest(const stream_digest &digest, time_point now)
{
    for (const auto &begun : digest.begun) {
        record(begun.stream, begun.origin, now + begun.timeLeft, now);
    }
    if (now - m_observedAt >= observationPeriod) {
        observeVersions(now);
    }
    onPeerVersions(digest, now);
    noteKnownFor(digest.knownFor, digest.listAge, now);
}

void stream_versions::onHistory(const std::vector<listed_version> &versions, duration knownFor, time_point now)
{
    observeVersions(now);
    noteListed(versions, now);
    // What happened since the list was first read is known only if there was no gap since then.
    if (m_knownSince && !m_gapAt && isListCurrent(now)) {
        m_knownSince = std::min(*m_knownSince, now - knownFor);
    }
}

void stream_versions::noteListed(const std::vector<listed_version> &versions, time_point now)
{
    for (const auto &listed : versions) {
        if (listed.age <= m_options.history) {
            auto &lastListed = m_lastListed[listed.version];
            lastListed = std::max(lastListed, now - listed.age);
        }
    }
}

void stream_versions::noteKnownFor(duration knownFor, duration listAge, time_point now)
{
    const auto isSettled = [&](const std::optional<time_point> &at) { return !at || now - *at >= m_options.settlingTime; };
    const bool reachesOwn = now - listAge >= m_ownSince;
    if (m_knownSince && reachesOwn && isSettled(m_gapAt) && isSettled(m_pausedAt) && isListCurrent(now)) {
        m_knownSince = std::min(*m_knownSince, now - knownFor);
    }
}

} // namespace wisteriashunt

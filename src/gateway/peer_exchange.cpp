#include "gateway/peer_exchange.h"

#include "gateway/bounded_unpack.h"
#include "wisteriashunt/errors.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace wisteriashunt
{

namespace
{

/// Version of the message format. Messages of another version are rejected.
constexpr int formatVersion = 2;

/// The last two members hold tokens by rank and replace the totals, which are for entries of earlier versions.
using packed_load = std::tuple<std::string, int, std::int64_t, int, int, std::int64_t, std::int64_t, std::vector<std::int64_t>, std::vector<std::int64_t>>;
using packed_rate = std::tuple<std::string, double>;
using packed_address = std::tuple<std::uint32_t, std::uint16_t>;
using packed_placement = std::tuple<std::uint64_t, std::string>;
/// Limit, age in milliseconds and number of sent requests; the limit is -1 after its withdrawal.
using packed_rate_limit = std::tuple<std::string, std::string, std::int64_t, double, std::int64_t, std::int64_t>;
/// Service, software version and the streams that began there, by hash, with the milliseconds for which they may be taken up.
using packed_streams = std::tuple<std::string, std::string, std::vector<std::tuple<std::uint64_t, std::int64_t>>>;
/// Service, software version, and the milliseconds since it was last listed.
using packed_version = std::tuple<std::string, std::string, std::int64_t>;
/// Attempt and parts of a request that a crash implicates.
using packed_suspect = std::tuple<std::uint64_t, std::vector<std::uint64_t>>;
/// Service, endpoint, age in milliseconds and the suspected requests.
using packed_crash = std::tuple<std::string, std::uint64_t, std::int64_t, std::vector<packed_suspect>>;
/// Service, part and age in milliseconds.
using packed_clearance = std::tuple<std::string, std::uint64_t, std::int64_t>;
/// Service, parts, crashes, age and time until a trial in milliseconds.
using packed_held = std::tuple<std::string, std::vector<std::uint64_t>, int, std::int64_t, std::int64_t>;
/// The last members are the epoch of the log, the limits of endpoints, the demand by service, begun streams, software versions, and crashes,
/// clearances and held parts of prompts. Entries of earlier versions skip them.
using packed_message = std::tuple<int,
                                  std::int64_t,
                                  bool,
                                  std::vector<packed_load>,
                                  std::vector<packed_rate>,
                                  std::vector<packed_placement>,
                                  std::vector<packed_address>,
                                  std::int64_t,
                                  std::vector<packed_rate_limit>,
                                  std::vector<packed_rate>,
                                  std::vector<packed_streams>,
                                  std::vector<packed_version>,
                                  std::vector<packed_crash>,
                                  std::vector<packed_clearance>,
                                  std::vector<packed_held>>;

/// Returns the tokens of each rank without trailing zeros.
std::vector<std::int64_t> packRanks(const ranked_tokens &tokens)
{
    std::vector<std::int64_t> packed;
    for (int rank = 0; rank <= ranked_tokens::lowestRank; ++rank) {
        packed.push_back(tokens.ofRank(rank));
    }
    while (!packed.empty() && packed.back() == 0) {
        packed.pop_back();
    }
    return packed;
}

/// Tokens of an entry of an earlier version, which reports no ranks, count as the most urgent, so that no request is placed as if they did not exist.
ranked_tokens unpackRanks(const std::vector<std::int64_t> &packed, std::int64_t total)
{
    ranked_tokens tokens;
    for (std::size_t rank = 0; rank < packed.size(); ++rank) {
        tokens.add(static_cast<int>(rank), packed[rank]);
    }
    return packed.empty() ? ranked_tokens(0, total) : tokens;
}

/// Returns the value if it is a finite number from 0 on. Throws shunt_error(malformed_frame) otherwise.
template<typename Number>
Number notNegative(Number value)
{
    if (!std::isfinite(static_cast<double>(value)) || value < 0) {
        throw shunt_error(error_kind::malformed_frame, "peer message: expected a number from 0 on, found " + std::to_string(value));
    }
    return value;
}

duration unpackMilliseconds(std::int64_t value)
{
    constexpr std::int64_t maxMilliseconds = 86'400'000;
    return std::chrono::milliseconds(std::min(notNegative(value), maxMilliseconds));
}

std::int64_t packMilliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

constexpr double withdrawnLimit = -1;

std::vector<packed_rate_limit> packRateLimits(const std::vector<rate_limit_notice> &notices)
{
    std::vector<packed_rate_limit> packed;
    for (const auto &notice : notices) {
        packed.emplace_back(notice.endpointId,
                            notice.service,
                            notice.startedAtMilliseconds,
                            notice.perSecond.value_or(withdrawnLimit),
                            packMilliseconds(notice.age),
                            notice.sent);
    }
    return packed;
}

std::vector<packed_streams> packStreams(const std::vector<begun_stream> &begun)
{
    std::map<stream_origin, std::vector<std::tuple<std::uint64_t, std::int64_t>>> byOrigin;
    for (const auto &each : begun) {
        byOrigin[each.origin].emplace_back(each.stream, packMilliseconds(each.timeLeft));
    }
    std::vector<packed_streams> packed;
    for (const auto &[origin, streams] : byOrigin) {
        packed.emplace_back(origin.service, origin.softwareVersion, streams);
    }
    return packed;
}

std::vector<begun_stream> unpackStreams(const std::vector<packed_streams> &packed)
{
    std::vector<begun_stream> begun;
    for (const auto &[service, version, streams] : packed) {
        for (const auto &[stream, timeLeft] : streams) {
            begun.push_back({.stream = stream, .origin = {.service = service, .softwareVersion = version}, .timeLeft = unpackMilliseconds(timeLeft)});
        }
    }
    return begun;
}

std::vector<packed_version> packVersions(const std::vector<listed_version> &versions)
{
    std::vector<packed_version> packed;
    for (const auto &[version, age] : versions) {
        packed.emplace_back(version.service, version.softwareVersion, packMilliseconds(age));
    }
    return packed;
}

std::vector<listed_version> unpackVersions(const std::vector<packed_version> &packed)
{
    std::vector<listed_version> versions;
    for (const auto &[service, version, age] : packed) {
        versions.push_back({.version = {.service = service, .softwareVersion = version}, .age = unpackMilliseconds(age)});
    }
    return versions;
}

std::vector<packed_crash> packCrashes(const std::vector<crash_report> &crashes)
{
    std::vector<packed_crash> packed;
    for (const auto &crash : crashes) {
        std::vector<packed_suspect> suspects;
        for (const auto &request : crash.suspects) {
            suspects.emplace_back(request.attempt, std::vector<std::uint64_t>(request.parts.begin(), request.parts.end()));
        }
        packed.emplace_back(crash.service, crash.endpoint, packMilliseconds(crash.age), suspects);
    }
    return packed;
}

std::vector<packed_clearance> packClearances(const std::vector<clearance> &clearances)
{
    std::vector<packed_clearance> packed;
    for (const auto &[service, part, age] : clearances) {
        packed.emplace_back(service, part, packMilliseconds(age));
    }
    return packed;
}

std::vector<packed_held> packHeld(const std::vector<held_parts> &held)
{
    std::vector<packed_held> packed;
    for (const auto &each : held) {
        packed.emplace_back(each.service,
                            std::vector<std::uint64_t>(each.parts.begin(), each.parts.end()),
                            each.crashes,
                            packMilliseconds(each.age),
                            packMilliseconds(each.untilTrial));
    }
    return packed;
}

quarantine_digest
unpackQuarantine(const std::vector<packed_crash> &crashes, const std::vector<packed_clearance> &clearances, const std::vector<packed_held> &held)
{
    quarantine_digest digest;
    for (const auto &[service, endpoint, age, suspects] : crashes) {
        crash_report crash{.service = service, .endpoint = endpoint, .age = unpackMilliseconds(age)};
        for (const auto &[attempt, parts] : suspects) {
            crash.suspects.push_back({.attempt = attempt, .parts = {parts.begin(), parts.end()}});
        }
        digest.crashes.push_back(std::move(crash));
    }
    for (const auto &[service, part, age] : clearances) {
        digest.clearances.push_back({.service = service, .part = part, .age = unpackMilliseconds(age)});
    }
    for (const auto &[service, parts, crashCount, age, untilTrial] : held) {
        digest.held.push_back({.service = service,
                               .parts = {parts.begin(), parts.end()},
                               .crashes = notNegative(crashCount),
                               .age = unpackMilliseconds(age),
                               .untilTrial = unpackMilliseconds(untilTrial)});
    }
    return digest;
}

std::vector<rate_limit_notice> unpackRateLimits(const std::vector<packed_rate_limit> &packed)
{
    std::vector<rate_limit_notice> notices;
    for (const auto &[id, service, startedAt, perSecond, age, sent] : packed) {
        notices.push_back({.endpointId = id,
                           .service = service,
                           .startedAtMilliseconds = startedAt,
                           .perSecond = perSecond == withdrawnLimit ? std::nullopt : std::optional(notNegative(perSecond)),
                           .age = unpackMilliseconds(age),
                           .sent = notNegative(sent)});
    }
    return notices;
}

} // namespace

std::string encodeEntryMessage(const entry_message &message)
{
    std::vector<packed_load> loads;
    for (const auto &[id, load] : message.load.endpoints) {
        loads.emplace_back(id,
                           load.waiting,
                           load.waitingTokens.total(),
                           load.shortPrompts,
                           load.longPrompts,
                           load.longPromptTokens.total(),
                           load.recentTokens,
                           packRanks(load.waitingTokens),
                           packRanks(load.longPromptTokens));
    }
    const std::vector<packed_rate> rates(message.load.shortPromptTokensPerSecond.begin(), message.load.shortPromptTokensPerSecond.end());
    std::vector<packed_placement> placements;
    for (const auto &placed : message.load.placements) {
        placements.emplace_back(placed.part, placed.endpointId);
    }
    std::vector<packed_address> peers;
    for (const auto &peer : message.peers) {
        peers.emplace_back(peer.ip, peer.port);
    }
    const auto &limits = message.load.rateLimits;
    const std::vector<packed_rate> demand(limits.demand.begin(), limits.demand.end());
    msgpack::sbuffer buffer;
    msgpack::pack(buffer,
                  packed_message{formatVersion,
                                 message.declarationsVersion,
                                 message.isLeaving,
                                 loads,
                                 rates,
                                 placements,
                                 peers,
                                 message.logEpoch,
                                 packRateLimits(limits.notices),
                                 demand,
                                 packStreams(message.streams.begun),
                                 packVersions(message.streams.versions),
                                 packCrashes(message.quarantine.crashes),
                                 packClearances(message.quarantine.clearances),
                                 packHeld(message.quarantine.held)});
    return {buffer.data(), buffer.size()};
}

entry_message decodeEntryMessage(std::string_view bytes)
{
    try {
        const auto handle = unpackBounded(bytes);
        const auto [format, version, isLeaving, loads, rates, placements, peers, logEpoch, rateLimits, demand, streams, versions, crashes, clearances, held] =
            handle.get().as<packed_message>();
        if (format != formatVersion) {
            throw shunt_error(error_kind::malformed_frame,
                              "peer message: expected format " + std::to_string(formatVersion) + ", found " + std::to_string(format));
        }
        entry_message message{.declarationsVersion = version, .isLeaving = isLeaving, .logEpoch = logEpoch};
        for (const auto &[id, waiting, tokens, shortPrompts, longPrompts, longPromptTokens, recentTokens, waitingByRank, longByRank] : loads) {
            message.load.endpoints[id] = {.waiting = waiting,
                                          .waitingTokens = unpackRanks(waitingByRank, tokens),
                                          .shortPrompts = shortPrompts,
                                          .longPrompts = longPrompts,
                                          .longPromptTokens = unpackRanks(longByRank, longPromptTokens),
                                          .recentTokens = recentTokens};
        }
        for (const auto &[service, rate] : rates) {
            message.load.shortPromptTokensPerSecond[service] = rate;
        }
        for (const auto &[part, id] : placements) {
            message.load.placements.push_back({.part = part, .endpointId = id});
        }
        message.load.rateLimits.notices = unpackRateLimits(rateLimits);
        for (const auto &[service, rate] : demand) {
            message.load.rateLimits.demand[service] = notNegative(rate);
        }
        message.streams = {.begun = unpackStreams(streams), .versions = unpackVersions(versions)};
        message.quarantine = unpackQuarantine(crashes, clearances, held);
        for (const auto &[ip, port] : peers) {
            message.peers.push_back({.ip = ip, .port = port});
        }
        return message;
    } catch (const msgpack::type_error &) {
        throw shunt_error(error_kind::malformed_frame, "peer message: a member has an unexpected type");
    } catch (const msgpack::unpack_error &) {
        throw shunt_error(error_kind::malformed_frame, "peer message: " + std::to_string(bytes.size()) + " bytes are not valid msgpack");
    }
}

peer_exchange::peer_exchange(event_loop &loop, event_log &log, const peer_exchange_options &options, compose_hook compose, message_hook onMessage)
    : m_loop(loop)
    , m_log(log)
    , m_options(options)
    , m_compose(std::move(compose))
    , m_onMessage(std::move(onMessage))
    , m_socket(loop, options.self, [this](const socket_address &from, std::string_view bytes) { onDatagram(from, bytes); })
{
    runPeriodically(loop, options.busyPeriod, [this] { broadcast(); });
}

std::vector<socket_address> peer_exchange::livePeers() const
{
    std::vector<socket_address> peers;
    for (const auto &[peer, lastHeard] : m_directPeers) {
        if (m_loop.now() - lastHeard < m_options.peerLifetime) {
            peers.push_back(peer);
        }
    }
    return peers;
}

std::vector<socket_address> peer_exchange::recipients() const
{
    auto peers = livePeers();
    peers.insert(peers.end(), m_options.seeds.begin(), m_options.seeds.end());
    for (const auto &[peer, lastHeard] : m_reportedPeers) {
        if (m_loop.now() - lastHeard < m_options.peerLifetime) {
            peers.push_back(peer);
        }
    }
    std::sort(peers.begin(), peers.end());
    peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
    std::erase(peers, m_options.self);
    return peers;
}

duration messagePeriod(const peer_exchange_options &options, std::size_t recipients)
{
    const auto bounded = fromSeconds(static_cast<double>(recipients) / options.maxMessagesPerSecond);
    return std::clamp(bounded, options.busyPeriod, options.idlePeriod);
}

void peer_exchange::broadcast()
{
    const auto peers = recipients();
    // Called every busyPeriod; a round is due at the call that is nearest to its time.
    const auto sinceLast = m_loop.now() - m_lastBroadcast + m_options.busyPeriod / 2;
    if (sinceLast < messagePeriod(m_options, peers.size())) {
        return;
    }
    auto message = m_compose();
    if (message.load == load_digest{} && message.streams.begun.empty() && message.quarantine == quarantine_digest{} && sinceLast < m_options.idlePeriod) {
        return;
    }
    send(std::move(message), peers);
}

void peer_exchange::sendNow()
{
    send(m_compose(), recipients());
}

void peer_exchange::send(entry_message message, const std::vector<socket_address> &peers)
{
    m_lastBroadcast = m_loop.now();
    message.peers = livePeers();
    const auto bytes = encodeEntryMessage(message);
    for (const auto &peer : peers) {
        // A failed send is treated like a lost datagram; the next message replaces it.
        m_socket.send(peer, bytes);
    }
}

void peer_exchange::onDatagram(const socket_address &from, std::string_view bytes)
{
    try {
        const auto message = decodeEntryMessage(bytes);
        const auto [position, isNew] = m_directPeers.try_emplace(from, m_loop.now());
        if (isNew || m_loop.now() - position->second > m_options.peerLifetime) {
            m_log.write(event_number::peer_up, {{"peer", toString(from)}});
        }
        position->second = m_loop.now();
        for (const auto &peer : message.peers) {
            m_reportedPeers[peer] = m_loop.now();
        }
        m_onMessage(from, message);
    } catch (const shunt_error &error) {
        m_log.write(event_number::peer_refused, {{"peer", toString(from)}, {"reason", error.what()}});
    }
}

} // namespace wisteriashunt

#include "gateway/entry_message.h"

#include "membership/bounded_unpack.h"
#include "wisteriashunt/errors.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace wisteriashunt
{

namespace
{

/// Versions of the formats of messages, news and loads of zones. Datagrams of another version are rejected.
constexpr int formatVersion = 2;
constexpr int newsFormatVersion = 3;
constexpr int zoneLoadsFormatVersion = 4;

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
/// Milliseconds for which the sender has known all versions, the versions it has seen while that is not long enough to name all, and the age of
/// its list in milliseconds, if known. Entries of earlier versions take versions that are told elsewhere for all there are.
using packed_version_knowledge = std::tuple<std::int64_t, std::vector<packed_version>, std::vector<std::int64_t>>;
/// Attempt, parts of the prompt and fingerprint of a request that a crash implicates.
using packed_suspect = std::tuple<std::uint64_t, std::vector<std::uint64_t>, std::uint64_t>;
/// Service, endpoint, age in milliseconds and the suspected requests.
using packed_crash = std::tuple<std::string, std::uint64_t, std::int64_t, std::vector<packed_suspect>>;
/// Service, part or fingerprint, and age in milliseconds.
using packed_clearance = std::tuple<std::string, std::uint64_t, std::int64_t>;
/// Service, parts, crashes, age and time until a trial in milliseconds.
using packed_held = std::tuple<std::string, std::vector<std::uint64_t>, int, std::int64_t, std::int64_t>;
/// The same for a whole request, with its fingerprint.
using packed_held_request = std::tuple<std::string, std::uint64_t, int, std::int64_t, std::int64_t>;
/// ID and start of an endpoint.
using packed_incarnation = std::tuple<std::string, std::int64_t>;
/// The last members are the epoch of the log, the limits of endpoints, the demand by service, begun streams, software versions, crashes,
/// clearances and held parts of prompts, endpoints that leave, the sender's zone, link and whether it is a relay, clearances and holds of whole
/// requests, whether the sender has just started, what it knows of software versions, and whether it has duties. Entries of earlier versions skip them.
using packed_place = std::tuple<std::string, double, bool>;
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
                                  std::vector<packed_held>,
                                  std::vector<packed_incarnation>,
                                  packed_place,
                                  std::vector<packed_clearance>,
                                  std::vector<packed_held_request>,
                                  bool,
                                  packed_version_knowledge,
                                  bool>;

using packed_zone_loads = std::tuple<int, std::vector<std::string>, bool, std::vector<packed_load>, std::vector<packed_rate>, std::vector<packed_placement>>;
using packed_news = std::tuple<int,
                               std::vector<packed_streams>,
                               std::vector<packed_crash>,
                               std::vector<packed_clearance>,
                               std::vector<packed_held>,
                               std::vector<packed_incarnation>,
                               std::vector<packed_clearance>,
                               std::vector<packed_held_request>>;

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
            const auto parts = idsOf(trait_kind::prompt_part, request.traits);
            const auto fingerprints = idsOf(trait_kind::whole_request, request.traits);
            suspects.emplace_back(request.attempt, std::vector<std::uint64_t>(parts.begin(), parts.end()), fingerprints.empty() ? 0 : *fingerprints.begin());
        }
        packed.emplace_back(crash.service, crash.endpoint, packMilliseconds(crash.age), suspects);
    }
    return packed;
}

std::vector<packed_clearance> packClearances(const std::vector<clearance> &clearances, trait_kind kind)
{
    std::vector<packed_clearance> packed;
    for (const auto &[service, trait, age] : clearances) {
        if (trait.kind == kind) {
            packed.emplace_back(service, trait.id, packMilliseconds(age));
        }
    }
    return packed;
}

std::vector<packed_held> packHeldParts(const std::vector<held_traits> &held)
{
    std::vector<packed_held> packed;
    for (const auto &each : held) {
        if (const auto parts = idsOf(trait_kind::prompt_part, each.traits); !parts.empty()) {
            packed.emplace_back(each.service,
                                std::vector<std::uint64_t>(parts.begin(), parts.end()),
                                each.crashes,
                                packMilliseconds(each.age),
                                packMilliseconds(each.untilTrial));
        }
    }
    return packed;
}

std::vector<packed_held_request> packHeldRequests(const std::vector<held_traits> &held)
{
    std::vector<packed_held_request> packed;
    for (const auto &each : held) {
        for (const auto fingerprint : idsOf(trait_kind::whole_request, each.traits)) {
            packed.emplace_back(each.service, fingerprint, each.crashes, packMilliseconds(each.age), packMilliseconds(each.untilTrial));
        }
    }
    return packed;
}

void unpackClearances(const std::vector<packed_clearance> &clearances, trait_kind kind, quarantine_digest &digest)
{
    for (const auto &[service, id, age] : clearances) {
        digest.clearances.push_back({.service = service, .trait = {kind, id}, .age = unpackMilliseconds(age)});
    }
}

quarantine_digest
unpackQuarantine(const std::vector<packed_crash> &crashes, const std::vector<packed_held> &heldParts, const std::vector<packed_held_request> &heldRequests)
{
    quarantine_digest digest;
    for (const auto &[service, endpoint, age, suspects] : crashes) {
        crash_report crash{.service = service, .endpoint = endpoint, .age = unpackMilliseconds(age)};
        for (const auto &[attempt, parts, fingerprint] : suspects) {
            suspect_request request{.attempt = attempt, .traits = {parts.begin(), parts.end()}};
            if (fingerprint != 0) {
                request.traits.insert({trait_kind::whole_request, fingerprint});
            }
            crash.suspects.push_back(std::move(request));
        }
        digest.crashes.push_back(std::move(crash));
    }
    const auto add = [&digest](const std::string &service, trait_set traits, int crashCount, std::int64_t age, std::int64_t untilTrial) {
        digest.held.push_back({.service = service,
                               .traits = std::move(traits),
                               .crashes = notNegative(crashCount),
                               .age = unpackMilliseconds(age),
                               .untilTrial = unpackMilliseconds(untilTrial)});
    };
    for (const auto &[service, parts, crashCount, age, untilTrial] : heldParts) {
        add(service, {parts.begin(), parts.end()}, crashCount, age, untilTrial);
    }
    for (const auto &[service, fingerprint, crashCount, age, untilTrial] : heldRequests) {
        add(service, {{trait_kind::whole_request, fingerprint}}, crashCount, age, untilTrial);
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

std::vector<packed_incarnation> packIncarnations(const std::vector<endpoint_incarnation> &incarnations)
{
    std::vector<packed_incarnation> packed;
    for (const auto &each : incarnations) {
        packed.emplace_back(each.id, each.startedAtMilliseconds);
    }
    return packed;
}

std::vector<endpoint_incarnation> unpackIncarnations(const std::vector<packed_incarnation> &packed)
{
    std::vector<endpoint_incarnation> incarnations;
    for (const auto &[id, startedAt] : packed) {
        incarnations.push_back({.id = id, .startedAtMilliseconds = startedAt});
    }
    return incarnations;
}

std::vector<packed_load> packLoads(const load_digest &digest)
{
    std::vector<packed_load> loads;
    for (const auto &[id, load] : digest.endpoints) {
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
    return loads;
}

std::vector<packed_placement> packPlacements(const load_digest &digest)
{
    std::vector<packed_placement> placements;
    for (const auto &placed : digest.placements) {
        placements.emplace_back(placed.part, placed.endpointId);
    }
    return placements;
}

load_digest unpackLoad(const std::vector<packed_load> &loads, const std::vector<packed_rate> &rates, const std::vector<packed_placement> &placements)
{
    load_digest digest;
    for (const auto &[id, waiting, tokens, shortPrompts, longPrompts, longPromptTokens, recentTokens, waitingByRank, longByRank] : loads) {
        digest.endpoints[id] = {.waiting = waiting,
                                .waitingTokens = unpackRanks(waitingByRank, tokens),
                                .shortPrompts = shortPrompts,
                                .longPrompts = longPrompts,
                                .longPromptTokens = unpackRanks(longByRank, longPromptTokens),
                                .recentTokens = recentTokens};
    }
    for (const auto &[service, rate] : rates) {
        digest.shortPromptTokensPerSecond[service] = rate;
    }
    for (const auto &[part, id] : placements) {
        digest.placements.push_back({.part = part, .endpointId = id});
    }
    return digest;
}

zone_loads unpackZoneLoads(const msgpack::object &packed)
{
    const auto [format, zones, isForMembers, loads, rates, placements] = packed.as<packed_zone_loads>();
    return {.zones = zones, .isForMembers = isForMembers, .load = unpackLoad(loads, rates, placements)};
}

entry_message unpackMessage(const msgpack::object &packed)
{
    const auto [format,
                version,
                isLeaving,
                loads,
                rates,
                placements,
                peers,
                logEpoch,
                rateLimits,
                demand,
                streams,
                versions,
                crashes,
                clearances,
                held,
                leaving,
                place,
                requestClearances,
                heldRequests,
                isStarting,
                versionKnowledge,
                hasDuties] = packed.as<packed_message>();
    if (format != formatVersion) {
        throw shunt_error(error_kind::malformed_frame, "peer message: expected format " + std::to_string(formatVersion) + ", found " + std::to_string(format));
    }
    entry_message message{.declarationsVersion = version, .isLeaving = isLeaving, .isStarting = isStarting, .logEpoch = logEpoch, .hasDuties = hasDuties};
    message.load = unpackLoad(loads, rates, placements);
    message.load.rateLimits.notices = unpackRateLimits(rateLimits);
    for (const auto &[service, rate] : demand) {
        message.load.rateLimits.demand[service] = notNegative(rate);
    }
    const auto &[knownFor, partialVersions, listAge] = versionKnowledge;
    message.streams = {.begun = unpackStreams(streams),
                       .versions = unpackVersions(versions),
                       .partialVersions = unpackVersions(partialVersions),
                       .knownFor = unpackMilliseconds(knownFor),
                       .listAge = listAge.empty() ? stream_version_options{}.maxListAge : unpackMilliseconds(listAge.front())};
    message.quarantine = unpackQuarantine(crashes, held, heldRequests);
    unpackClearances(clearances, trait_kind::prompt_part, message.quarantine);
    unpackClearances(requestClearances, trait_kind::whole_request, message.quarantine);
    for (const auto &[ip, port] : peers) {
        message.peers.push_back({.ip = ip, .port = port});
    }
    message.leaving = unpackIncarnations(leaving);
    const auto &[zone, link, isRelay] = place;
    message.place = {.availabilityZone = zone, .linkBytesPerSecond = notNegative(link), .isRelay = isRelay};
    return message;
}

entry_news unpackNews(const msgpack::object &packed)
{
    const auto [format, streams, crashes, clearances, held, leaving, requestClearances, heldRequests] = packed.as<packed_news>();
    auto quarantine = unpackQuarantine(crashes, held, heldRequests);
    unpackClearances(clearances, trait_kind::prompt_part, quarantine);
    unpackClearances(requestClearances, trait_kind::whole_request, quarantine);
    return {.begunStreams = unpackStreams(streams), .quarantine = std::move(quarantine), .leaving = unpackIncarnations(leaving)};
}

/// Returns the version of the format, which is the first member of the array.
int formatOf(const msgpack::object &packed)
{
    if (packed.type != msgpack::type::ARRAY || packed.via.array.size == 0) {
        throw msgpack::type_error();
    }
    return packed.via.array.ptr[0].as<int>();
}

/// Unpacks the bytes and passes the object to the function. Throws shunt_error(malformed_frame) if the bytes or the object are not valid.
template<typename Unpack>
auto unpackDatagram(std::string_view bytes, Unpack unpack)
{
    try {
        const auto handle = unpackBounded(bytes);
        return unpack(handle.get());
    } catch (const msgpack::type_error &) {
        throw shunt_error(error_kind::malformed_frame, "peer message: a member has an unexpected type");
    } catch (const msgpack::unpack_error &) {
        throw shunt_error(error_kind::malformed_frame, "peer message: " + std::to_string(bytes.size()) + " bytes are not valid msgpack");
    }
}

} // namespace

std::string encodeEntryMessage(const entry_message &message)
{
    const auto loads = packLoads(message.load);
    const std::vector<packed_rate> rates(message.load.shortPromptTokensPerSecond.begin(), message.load.shortPromptTokensPerSecond.end());
    const auto placements = packPlacements(message.load);
    std::vector<packed_address> peers;
    for (const auto &peer : message.peers) {
        peers.emplace_back(peer.ip, peer.port);
    }
    const auto &limits = message.load.rateLimits;
    const std::vector<packed_rate> demand(limits.demand.begin(), limits.demand.end());
    msgpack::sbuffer buffer;
    msgpack::pack(
        buffer,
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
                       packClearances(message.quarantine.clearances, trait_kind::prompt_part),
                       packHeldParts(message.quarantine.held),
                       packIncarnations(message.leaving),
                       {message.place.availabilityZone, message.place.linkBytesPerSecond, message.place.isRelay},
                       packClearances(message.quarantine.clearances, trait_kind::whole_request),
                       packHeldRequests(message.quarantine.held),
                       message.isStarting,
                       {packMilliseconds(message.streams.knownFor), packVersions(message.streams.partialVersions), {packMilliseconds(message.streams.listAge)}},
                       message.hasDuties});
    return {buffer.data(), buffer.size()};
}

std::string encodeEntryNews(const entry_news &news)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer,
                  packed_news{newsFormatVersion,
                              packStreams(news.begunStreams),
                              packCrashes(news.quarantine.crashes),
                              packClearances(news.quarantine.clearances, trait_kind::prompt_part),
                              packHeldParts(news.quarantine.held),
                              packIncarnations(news.leaving),
                              packClearances(news.quarantine.clearances, trait_kind::whole_request),
                              packHeldRequests(news.quarantine.held)});
    return {buffer.data(), buffer.size()};
}

std::string encodeZoneLoads(const zone_loads &loads)
{
    const auto &rates = loads.load.shortPromptTokensPerSecond;
    msgpack::sbuffer buffer;
    msgpack::pack(buffer,
                  packed_zone_loads{zoneLoadsFormatVersion,
                                    loads.zones,
                                    loads.isForMembers,
                                    packLoads(loads.load),
                                    std::vector<packed_rate>(rates.begin(), rates.end()),
                                    packPlacements(loads.load)});
    return {buffer.data(), buffer.size()};
}

entry_message decodeEntryMessage(std::string_view bytes)
{
    return unpackDatagram(bytes, unpackMessage);
}

std::variant<entry_message, entry_news, zone_loads, duty_message> decodeDatagram(std::string_view bytes)
{
    return unpackDatagram(bytes, [bytes](const msgpack::object &packed) -> std::variant<entry_message, entry_news, zone_loads, duty_message> {
        switch (formatOf(packed)) {
        case newsFormatVersion:
            return unpackNews(packed);
        case zoneLoadsFormatVersion:
            return unpackZoneLoads(packed);
        case dutyFormatVersion:
            return decodeDutyMessage(bytes);
        default:
            return unpackMessage(packed);
        }
    });
}

} // namespace wisteriashunt

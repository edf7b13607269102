#include "gateway/gateway.h"

#include "dispatch/list_readings.h"
#include "dispatch/turns.h"
#include "gateway/memory_watch.h"
#include "gateway/quarantine_operations.h"
#include "membership/hash.h"
#include "wisteriashunt/errors.h"

#include <algorithm>
#include <unistd.h>

namespace wisteriashunt
{

namespace
{

/// Timeouts of connections to endpoints.
const channel_options endpointChannel{.peerTimeout = std::chrono::milliseconds(1000), .connectTimeout = std::chrono::milliseconds(200)};

/// Period of onTick().
constexpr std::chrono::milliseconds tickPeriod{100};

/// Time before the end of the grace period at which the loop stops, so that remaining connections are closed before SIGKILL.
constexpr std::chrono::milliseconds shutdownMargin{400};

/// Share of maxDrainDelay for which endpoints that say that they leave may still get requests if all of their service leave. The rest is left
/// for the way of a request to the endpoint.
constexpr double leavingGraceShare = 0.75;

/// Most endpoints that leave in one message to peers.
constexpr std::size_t maxLeavingInMessage = 32;

/// Share of convergenceTime for which the log holds a call for new declarations. The log does not always answer a held call when there are
/// new declarations (it does not after it has deleted its history), so a call must end early enough for the next one.
constexpr double declarationsWaitShare = 0.65;

/// Share of convergenceTime: the age of the newest answer of the entries that read the declarations for this one, from which on it reads them
/// itself. More than declarationsWaitShare, since the log answers a held call at once when
/// there are new ones.
constexpr double maxRelayedDeclarationsAgeShare = 0.75;

/// Descriptors reserved for connections to endpoints, the log and peers, and for files.
constexpr std::size_t reservedDescriptors = 1200;

/// Most connections to the ports of readiness and metrics, which a balancer and a few tools use.
constexpr std::size_t maxReadinessCallers = 64;

std::size_t maxCallers(std::size_t maxDescriptors)
{
    return maxDescriptors > 2 * reservedDescriptors ? maxDescriptors - reservedDescriptors : maxDescriptors / 2;
}

/// Share of the descriptors that closed connections may keep until their callers close too.
constexpr std::size_t lingerDivisor = 32;

/// Shares of the instance's memory that the messages of callers may take, and among them long requests that are whole. docs/CAPACITY.md has the sum.
constexpr double bufferMemoryShare = 0.4;
constexpr double runningMemoryShare = 1.0 / 3;

std::size_t shareOf(std::size_t bytes, double share)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

/// Share of the instance's link that messages to other entries may take. The rest is for callers and endpoints.
constexpr double exchangeLinkShare = 0.1;

/// Time after the start during which an entry waits for the first message of a peer before it is ready; entries without load send messages
/// every peer_exchange_options::idlePeriod.
constexpr std::chrono::milliseconds firstPeerMessageWait{700};

/// Time after the start during which an entry asks its peers by its messages for what they hold.
constexpr std::chrono::milliseconds startingTime{600};

/// Time after the start during which an entry that knows of newer declarations at a peer is not ready.
constexpr std::chrono::milliseconds startCatchUpTime{2500};

/// Longest pause of an entry before it reads a topic anew in a higher epoch of the log.
constexpr std::chrono::milliseconds maxRereadDelay{250};

/// Spreads the entries over maxRereadDelay.
duration rereadDelayOf(const std::string &instance)
{
    constexpr std::size_t steps = 64;
    return maxRereadDelay * static_cast<std::int64_t>(std::hash<std::string>{}(instance) % steps) / static_cast<std::int64_t>(steps);
}

} // namespace

gateway::gateway(gateway_options options, const clock_source &clock)
    : m_options(std::move(options))
    , m_listTiming(listTimingOf(m_options.settings.maxDrainDelay, m_options.settings.heartbeat))
    , m_clock(clock)
    , m_loop(clock)
    , m_log(m_loop, {})
    , m_planner(m_roster,
                m_options.settings.availabilityZone,
                {.leavingGrace = fromSeconds(leavingGraceShare * toSeconds(m_options.settings.maxDrainDelay)),
                 .rateLimits = {.entryKey = hashText(m_options.settings.instance)}})
    , m_streams(m_roster)
    , m_quarantine({.entryKey = hashText(m_options.settings.instance)})
    , m_pool(m_loop, {.channel = endpointChannel})
    , m_crashes(m_loop, m_log, m_pool, {.channel = endpointChannel}, [this](const endpoint_crash &crash) { onEndpointCrash(crash); })
    , m_buffers(std::make_shared<memory_ledger>(shareOf(m_options.settings.maxMemoryBytes, bufferMemoryShare)))
    , m_context{.loop = m_loop,
                .dialect = m_options.dialect,
                .log = m_log,
                .roster = m_roster,
                .planner = m_planner,
                .streams = m_streams,
                .quarantine = m_quarantine,
                .pool = m_pool,
                .crashes = m_crashes,
                .counters = m_counters,
                .retryOptions = m_options.settings.retries,
                .hedging = hedge_policy({.limits = m_options.settings.hedging, .window = m_options.settings.retries.window}),
                .buffers = m_buffers,
                .running = std::make_shared<memory_ledger>(shareOf(m_options.settings.maxMemoryBytes, runningMemoryShare), m_buffers),
                .memory = {.budgetBytes = m_buffers->limitBytes()}}
    , m_declarationsFollower(m_loop,
                             m_log,
                             m_options.logDialect,
                             {.topic = m_options.decoders.declarationsTopic,
                              .log = m_options.settings.logAddress,
                              .wait = fromSeconds(declarationsWaitShare * toSeconds(m_options.settings.convergenceTime)),
                              .maxRelayedAge = fromSeconds(maxRelayedDeclarationsAgeShare * toSeconds(m_options.settings.convergenceTime)),
                              .rereadDelay = rereadDelayOf(m_options.settings.instance),
                              .rules = declarationRules(m_options.decoders)},
                             {.isReadElsewhere = [this] { return hasReaders(); },
                              .onRecord = [this](const keyed_record &record, record_timing) { onDeclarations(record); },
                              .onOutdated = [this](const keyed_record &record) { onOutdatedDeclarations(record); },
                              .onEpoch = [this](std::int64_t epoch) { m_endpointsFollower.noteEpoch(epoch); }})
    , m_endpointsFollower(m_loop,
                          m_log,
                          m_options.logDialect,
                          {.topic = m_options.decoders.endpointsTopic,
                           .log = m_options.settings.logAddress,
                           .period = m_listTiming.period,
                           .holdPeriod = m_listTiming.holdPeriod,
                           .timeout = m_listTiming.timeout,
                           .connectTimeout = m_listTiming.connectTimeout,
                           .initialBackoff = m_listTiming.initialBackoff,
                           .maxBackoff = m_listTiming.maxBackoff,
                           .maxRelayedAge = m_listTiming.maxRelayedAge,
                           .rereadDelay = rereadDelayOf(m_options.settings.instance),
                           .rules = endpointRules(m_options.decoders),
                           .outages = m_listTiming.outages},
                          {.isReadElsewhere = [this] { return hasReaders(); },
                           .onRecord = [this](const keyed_record &record, record_timing timing) { onEndpointRecord(record, timing); },
                           .onEpoch = [this](std::int64_t epoch) { m_declarationsFollower.noteEpoch(epoch); },
                           .onPassedOver = [this] { m_streams.onPassedOver(std::nullopt, m_loop.now()); },
                           .holdsRemovals = [this] { return !m_pendingRemovals.empty(); },
                           .demandPause = [this] { return listDemandPause(m_planner.liveEntries(m_loop.now())); }})
    , m_callerLimit(maxCallers(m_options.settings.maxDescriptors), [this](std::string_view closed) { onClosedForLimit(closed); })
    , m_readinessLimit(maxReadinessCallers, [this](std::string_view closed) { onClosedForLimit(closed); })
    , m_lingers(std::make_shared<linger_limit>(linger_limit{.most = m_options.settings.maxDescriptors / lingerDivisor}))
    , m_callerHooks(std::make_shared<caller_hooks>(
          caller_hooks{.onRequest = [this](const auto &caller, received_request &&request) { onRequest(caller, std::move(request)); },
                       .onDisconnected = [this](caller_connection &caller) { onCallerDisconnected(caller); },
                       .onClosed =
                           [this](caller_connection &caller) {
                               m_sessions.erase(&caller);
                               m_callers.release(m_loop, caller);
                           },
                       .onFault = [this](const auto &caller, read_fault fault) { onFault(caller, fault); },
                       .onMemoryOver = [this] { m_context.onMemoryOver(); }}))
    , m_readinessHooks(std::make_shared<caller_hooks>(
          caller_hooks{.onRequest = [this](const auto &caller, received_request &&request) { onReadinessRequest(caller, request); },
                       .onDisconnected = [](caller_connection &) {},
                       .onClosed = [this](caller_connection &caller) { m_readinessCallers.release(m_loop, caller); },
                       .onFault = [this](const auto &caller, read_fault fault) { onFault(caller, fault); }}))
{
    m_context.onStreamCut = [this] {
        if (m_streams.hasNews(m_loop.now())) {
            announceNews();
        }
    };
    m_streams.listReadAt = [this] { return m_endpointsFollower.isComplete() ? std::optional(m_endpointsFollower.lastAnswer()) : std::nullopt; };
    m_streams.listAskedAt = [this] { return m_endpointsFollower.lastAsked(); };
    m_context.readList = [this](std::function<void(bool)> onRead) { readList(std::move(onRead)); };
    m_context.onMemoryOver = [this] { relieveMemory(m_context, m_callers); };
    m_context.onEndpointLeaving = [this] { announceNews(); };
    m_context.onQuarantineChange = [this] { announceQuarantineChange(); };
    m_roster.onUnavailable = [this](const endpoint_pointer &endpoint) {
        m_log.write(endpoint->isRemoved ? event_number::endpoint_gone : event_number::endpoint_draining, {{"endpoint", endpoint->record.id}});
        m_pool.closeIdle(endpoint);
    };
}

gateway::~gateway() = default;

void gateway::run()
{
    m_log.write(
        event_number::process_started,
        {{"instance", m_options.settings.instance}, {"zone", m_options.settings.availabilityZone}, {"callers", toString(m_options.settings.callerAddress)}});
    configureAllocator();
    addGauges();
    m_startedAt = m_loop.now();
    listen();
    startDuties();
    startStreamStore();
    startPeerExchange();
    m_declarationsFollower.start();
    m_endpointsFollower.start();
    runPeriodically(m_loop, tickPeriod, [this] { onTick(); });
    m_loop.run();
    m_log.write(event_number::process_stopped, {{"open", std::to_string(m_context.openSessions)}});
}

void gateway::startPeerExchange()
{
    const auto &self = m_options.settings.controlAddress;
    if (!self) {
        return;
    }
    m_peerRecords = std::make_unique<peer_records>(
        m_loop,
        m_log,
        peer_records_options{.self = *self, .readerPeriod = m_listTiming.relayPeriod},
        std::vector{&m_declarationsFollower, &m_endpointsFollower},
        peer_records::hooks{.versionsOf = [this](const std::string &topic) -> std::optional<stream_digest> {
                                return topic == m_endpointsFollower.topic() ? std::optional(m_streams.knowledge(m_loop.now())) : std::nullopt;
                            },
                            .onMerged =
                                [this](const std::string &topic, const std::optional<stream_digest> &versions, bool hasPassedOver) {
                                    if (topic == m_endpointsFollower.topic()) {
                                        onListMerged(versions, hasPassedOver);
                                    }
                                }});
    peer_exchange_options options;
    options.schedule.maxBytesPerSecond = exchangeLinkShare * m_options.settings.linkBytesPerSecond;
    options.place = {.availabilityZone = m_options.settings.availabilityZone, .linkBytesPerSecond = m_options.settings.linkBytesPerSecond};
    options.seeds = m_options.settings.seeds;
    options.self = *self;
    peer_exchange::hooks hooks;
    hooks.compose = [this] { return composeMessage(); };
    hooks.composeNews = [this] { return composeNews(); };
    hooks.onMessage = [this](const socket_address &from, const entry_message &message) { onPeerMessage(from, message); };
    hooks.onNews = [this](const socket_address &from, const entry_news &news) { onPeerNews(from, news); };
    hooks.onRelayedLoad = [this](load_digest load) {
        m_planner.onRelayedLoad(std::move(load), m_loop.now());
        m_context.onCapacityFreed();
    };
    if (m_duties != nullptr) {
        hooks.onDuties = [this](const socket_address &from, const duty_message &message) { m_duties->onMessage(from, message); };
        m_duties->setSend([this](const std::vector<socket_address> &peers, const duty_message &message) { m_peers->tellDuties(peers, message); });
    }
    m_peers = std::make_unique<peer_exchange>(m_loop, m_log, options, std::move(hooks));
}

void gateway::onEndpointCrash(const endpoint_crash &crash)
{
    const auto &record = crash.endpoint->record;
    crash_report report{.service = record.service,
                        .endpoint = mixBits(hashText(record.id) ^ static_cast<std::uint64_t>(record.startedAtMilliseconds)),
                        .age = m_loop.now() - crash.at};
    for (const auto &attempt : crash.attempts) {
        report.suspects.push_back({.attempt = hashText(attempt.attemptId), .traits = attempt.traits});
    }
    m_quarantine.onCrash(report, m_loop.now());
    announceQuarantineChange();
}

void gateway::announceQuarantineChange()
{
    logQuarantineChanges(m_log, m_quarantine);
    if (m_quarantine.hasNews()) {
        announceNews();
    }
}

void gateway::announceNews()
{
    if (m_peers == nullptr || m_isAnnouncementScheduled) {
        return;
    }
    m_isAnnouncementScheduled = true;
    m_announcementTimer = m_loop.schedule(m_loop.now(), [this] {
        m_isAnnouncementScheduled = false;
        m_peers->tellNews();
    });
}

void gateway::onPeerLeavingNotices(const socket_address &from, const std::vector<endpoint_incarnation> &leaving)
{
    for (const auto &incarnation : leaving) {
        if (m_roster.noteLeaving(incarnation, m_loop.now())) {
            m_log.write(event_number::endpoint_leaving, {{"endpoint", incarnation.id}, {"peer", toString(from)}});
        }
    }
}

void gateway::onPeerNews(const socket_address &from, const entry_news &news)
{
    onPeerLeavingNotices(from, news.leaving);
    m_streams.onPeerDigest({.begun = news.begunStreams}, m_loop.now());
    m_quarantine.onPeerDigest(news.quarantine, m_loop.now());
    logQuarantineChanges(m_log, m_quarantine);
    m_context.onCapacityFreed();
}

void gateway::onPeerMessage(const socket_address &from, const entry_message &message)
{
    for (const auto &change : m_planner.onPeerDigest(toString(from), message.load, m_loop.now())) {
        logRateLimitChange(m_log, change, {.key = "peer", .value = toString(from)});
    }
    onPeerLeavingNotices(from, message.leaving);
    m_streams.onPeerDigest(message.streams, m_loop.now());
    m_quarantine.onPeerDigest(message.quarantine, m_loop.now());
    logQuarantineChanges(m_log, m_quarantine);
    m_context.onCapacityFreed();
    m_hasPeerMessage = true;
    if (m_duties != nullptr && message.hasDuties) {
        m_duties->onPeer(from);
    }
    if (message.isStarting && m_quarantine.heldCombinations() > 0) {
        m_peers->tellNewsTo(from, {.quarantine = {.held = m_quarantine.held(m_loop.now())}});
    }
    m_newestPeerVersion = std::max(m_newestPeerVersion, message.declarationsVersion);
    if (message.declarationsVersion > declarationsVersion()) {
        m_peerRecords->notePeerAhead(m_declarationsFollower.topic());
    }
    m_declarationsFollower.noteEpoch(message.logEpoch);
    m_endpointsFollower.noteEpoch(message.logEpoch);
}

bool gateway::hasReaders() const
{
    return m_peers != nullptr && !m_peers->readers().empty();
}

std::int64_t gateway::declarationsVersion() const
{
    return m_context.table == nullptr ? -1 : m_context.table->version();
}

void gateway::addGauges()
{
    m_counters.addGauge("open_requests", [this] { return static_cast<double>(m_context.openSessions); });
    m_counters.addGauge("message_bytes", [this] { return static_cast<double>(m_context.buffers->bytes()); });
    m_counters.addGauge("unread_answer_bytes", [this] { return static_cast<double>(m_context.unreadBytes); });
    m_counters.addGauge("waiting_requests", [this] { return static_cast<double>(m_context.queue.size()); });
    m_counters.addGauge("caller_connections", [this] { return static_cast<double>(m_callers.all().size()); });
    m_counters.addGauge("endpoint_connections_opened", [this] { return static_cast<double>(m_pool.openedConnections()); });
    m_counters.addGauge("endpoints_listed", [this] { return static_cast<double>(m_roster.size()); });
    m_counters.addGauge("endpoints_leaving", [this] { return static_cast<double>(m_roster.unlistedLeaving().size()); });
    m_counters.addGauge("endpoints_paused", [this] { return static_cast<double>(m_roster.pausedEndpoints(m_loop.now())); });
    m_counters.addGauge("endpoints_with_rate_limit", [this] { return static_cast<double>(m_planner.rateLimits().limitedEndpoints()); });
    m_counters.addGauge("known_streams", [this] { return static_cast<double>(m_streams.knownStreams()); });
    m_counters.addGauge("held_prompts", [this] { return static_cast<double>(m_quarantine.heldCombinations(trait_kind::prompt_part)); });
    m_counters.addGauge("held_requests", [this] { return static_cast<double>(m_quarantine.heldCombinations(trait_kind::whole_request)); });
    m_counters.addGauge("sharing_entries", [this] { return static_cast<double>(m_planner.sharingEntries(m_loop.now())); });
    m_counters.addGauge("live_entries", [this] { return static_cast<double>(m_planner.liveEntries(m_loop.now())); });
    m_counters.addGauge("declarations_version", [this] { return static_cast<double>(declarationsVersion()); });
    m_counters.addGauge("log_epoch", [this] { return static_cast<double>(m_endpointsFollower.epoch()); });
    m_counters.addGauge("declarations_age_seconds", [this] { return toSeconds(m_loop.now() - m_declarationsFollower.lastAnswer()); });
    m_counters.addGauge("endpoint_list_age_seconds", [this] { return toSeconds(m_loop.now() - m_endpointsFollower.lastAnswer()); });
}

entry_message gateway::composeMessage()
{
    return {.declarationsVersion = declarationsVersion(),
            .isLeaving = m_leavingSince.has_value(),
            .isStarting = m_loop.now() - m_startedAt < startingTime,
            .load = m_planner.digest(m_loop.now()),
            .streams = m_streams.digest(m_loop.now()),
            .quarantine = m_quarantine.digest(m_loop.now()),
            .logEpoch = m_endpointsFollower.epoch(),
            .leaving = nextByTurns(m_roster.unlistedLeaving(), maxLeavingInMessage, m_lastLeavingTold),
            .hasDuties = m_duties != nullptr};
}

entry_news gateway::composeNews()
{
    return {.begunStreams = m_streams.digest(m_loop.now()).begun,
            .quarantine = m_quarantine.digest(m_loop.now()),
            .leaving = nextByTurns(m_roster.unlistedLeaving(), maxLeavingInMessage, m_lastLeavingTold)};
}

bool gateway::isReady() const
{
    return m_context.table != nullptr && m_endpointsFollower.isComplete() && !m_leavingSince && !isCatchingUpWithPeers();
}

bool gateway::isCatchingUpWithPeers() const
{
    const auto sinceStart = m_loop.now() - m_startedAt;
    if (!m_hasPeerMessage) {
        return !m_options.settings.seeds.empty() && m_options.settings.controlAddress && sinceStart < firstPeerMessageWait;
    }
    return m_newestPeerVersion > declarationsVersion() && sinceStart < startCatchUpTime;
}

void gateway::onTick()
{
    std::vector<std::string> expired;
    for (const auto &[id, due] : m_pendingRemovals) {
        if (m_loop.now() >= due && isEndpointListCurrent()) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        removeEndpoint(id, "missing_after_outage");
    }
    readmitEndpoints();
    m_quarantine.noteEntries(m_planner.liveEntries(m_loop.now()));
    onStreamTick();
    watchMemory(m_context, m_callers);
    m_pool.closeExpired();
    const auto limits = m_context.table == nullptr ? caller_limits{} : m_context.table->declarations().limits;
    closeStaleCallers(m_callers, limits.headTimeout, limits.idleTimeout);
    closeStaleCallers(m_readinessCallers, caller_options{}.headTimeout, caller_options{}.idleTimeout);
    if (m_duties != nullptr) {
        m_duties->onTick();
    }
    if (m_peers != nullptr) {
        m_peerRecords->fetchIfDue(m_peers->livePeers(), m_peers->readers());
    }
    if (m_options.takeReloadRequest()) {
        try {
            const auto settings = m_options.reloadSettings();
            m_log.write(event_number::settings_reloaded, {{"changed", settings == m_options.settings ? "no" : "yes"}});
        } catch (const shunt_error &error) {
            m_log.write(event_number::settings_fault, {{"reason", error.what()}});
        }
    }
    if (m_options.isStopRequested() && !m_leavingSince) {
        beginLeaving();
    }
    if (m_leavingSince) {
        continueLeaving();
    }
}

void gateway::beginLeaving()
{
    m_leavingSince = m_loop.now();
    m_context.isLeaving = true;
    m_context.stopsAt = m_loop.now() + m_options.settings.gracePeriod - shutdownMargin;
    m_log.write(event_number::process_leaving, {{"open", std::to_string(m_context.openSessions)}, {"callers", std::to_string(m_callers.all().size())}});
    if (m_duties != nullptr) {
        m_duties->beginLeaving();
    }
}

void gateway::continueLeaving()
{
    const auto since = m_loop.now() - *m_leavingSince;
    if (since > m_options.settings.acceptWhileLeaving) {
        m_context.refusesNewRequests = true;
        m_callerListener->close();
        std::vector<std::shared_ptr<caller_connection>> idle;
        for (const auto &[address, caller] : m_callers.all()) {
            if (caller->isIdle()) {
                idle.push_back(caller);
            }
        }
        for (const auto &caller : idle) {
            caller->closeWhenIdle();
        }
        const bool isDone = m_context.openSessions == 0 && m_callers.all().empty();
        if (isDone || since > m_options.settings.gracePeriod - shutdownMargin) {
            if (m_duties != nullptr) {
                m_duties->tellLast();
            }
            m_loop.stop();
        }
    }
}

} // namespace wisteriashunt

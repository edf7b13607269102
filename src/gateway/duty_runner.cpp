#include "gateway/duty_runner.h"

#include "duties/incarnation.h"

#include <algorithm>
#include <random>

namespace wisteriashunt
{

namespace
{

/// The duty that exists so far, and the key of its claim.
constexpr std::string_view usageKey = "usage";

constexpr std::size_t maxApiAnswerBytes = 64 * 1024;

/// Calls are seconds apart, and a connection over a link that was cut meanwhile may be dead.
constexpr std::chrono::seconds maxIdle{2};

/// Shorter than duty_claim_options::leaseMargin, so that the kernel of a holder that was killed does not deliver its call after one of the successor.
constexpr std::chrono::milliseconds apiPeerTimeout{800};

/// Most peers that are sent messages.
constexpr std::size_t maxPeers = 512;

/// Most messages at once with counts, which may not fit into one.
constexpr int maxUsageParts = 4;

std::uint64_t drawIncarnation(time_point wall)
{
    std::random_device device;
    return incarnationAt(wall, std::uniform_int_distribution<std::uint64_t>{}(device));
}

usage_duty_options usageOptionsOf(const duty_runner_options &options)
{
    usage_duty_options usage;
    usage.claim.key = usageKey;
    usage.claim.instance = options.instance;
    usage.claim.incarnation = drawIncarnation(options.wallClock());
    usage.claim.lease = options.duties.leaseTime;
    usage.window = options.duties.usageWindow;
    usage.due = options.duties.usageDelay;
    // Counts are needed until their report is due, also those of the window that has begun, and of one that ends meanwhile.
    usage.countedWindows = std::max(usage.countedWindows, (usage.due + usage.window - duration(1)) / usage.window + 2);
    usage.maxWindows = std::max(usage.maxWindows, static_cast<std::size_t>(usage.countedWindows));
    return usage;
}

event_number eventOf(duty_event_kind kind)
{
    switch (kind) {
    case duty_event_kind::takeover:
        return event_number::duty_taken;
    case duty_event_kind::lost:
        return event_number::duty_lost;
    case duty_event_kind::reported:
        return event_number::usage_reported;
    case duty_event_kind::missed:
        return event_number::usage_missed;
    case duty_event_kind::disagreement:
        return event_number::duty_disagreement;
    case duty_event_kind::unable:
        return event_number::duty_unable;
    case duty_event_kind::able:
        return event_number::duty_able;
    case duty_event_kind::ordered:
        return event_number::endpoints_ordered;
    case duty_event_kind::order_refused:
        return event_number::order_refused;
    }
    return event_number::duty_disagreement;
}

/// Log lines are split at spaces.
std::string asWord(std::string text)
{
    std::replace(text.begin(), text.end(), ' ', '_');
    return text.empty() ? "-" : text;
}

} // namespace

duty_runner::duty_runner(event_loop &loop,
                         event_log &log,
                         metrics &counters,
                         const clock_source &clock,
                         const keyed_log_dialect &logDialect,
                         const duty_dialect &dialect,
                         const duty_runner_options &options)
    : m_loop(loop)
    , m_log(log)
    , m_counters(counters)
    , m_clock(clock)
    , m_dialect(dialect)
    , m_options(options)
    , m_usage(usageOptionsOf(options), clock.now(), wall())
    , m_logClient(loop, logDialect, {.topic = dialect.topic, .key = std::string(usageKey), .log = options.log})
    , m_countsClient(loop, logDialect, {.topic = dialect.countsTopic, .key = options.instance, .log = options.log})
    , m_api(loop, {.server = options.duties.api, .peerTimeout = apiPeerTimeout, .maxAnswerBytes = maxApiAnswerBytes, .maxIdle = maxIdle})
{
    addGauges();
}

time_point duty_runner::wall() const
{
    return m_options.wallClock();
}

void duty_runner::setSend(send_hook send)
{
    m_send = std::move(send);
}

void duty_runner::onRunBegun(const std::string &workspace)
{
    // Requests of public routes are no workspace's.
    if (!workspace.empty()) {
        m_usage.onBegan(workspace, m_loop.now());
    }
}

void duty_runner::onPeer(const socket_address &peer)
{
    if (m_peers.size() < maxPeers || m_peers.contains(peer)) {
        m_peers[peer].heardAt = m_loop.now();
    }
}

void duty_runner::onMessage(const socket_address &from, const duty_message &message)
{
    onPeer(from);
    if (const auto peer = m_peers.find(from); peer != m_peers.end()) {
        peer->second.instance = message.notice.instance;
    }
    m_usage.onNotice(message.notice, m_loop.now());
    if (message.usage) {
        m_usage.onUsage(*message.usage, m_loop.now());
    }
}

void duty_runner::onTick()
{
    std::erase_if(m_peers, [this](const auto &peer) { return m_loop.now() - peer.second.heardAt >= m_options.peerLifetime; });
    step();
    tellUsage();
    tellPeers();
}

void duty_runner::beginLeaving()
{
    m_usage.setLeaving();
    tellPeers();
}

void duty_runner::tellLast()
{
    m_usageToldAt = {};
    tellUsage();
}

void duty_runner::step()
{
    // A call that is not sent ends at once.
    if (m_isStepping) {
        return;
    }
    m_isStepping = true;
    for (const auto &action : m_usage.step(m_loop.now(), wall())) {
        std::visit([this](const auto &each) { carryOut(each); }, action);
    }
    m_isStepping = false;
    logEvents();
}

void duty_runner::carryOut(const read_newest_action & /*action*/)
{
    m_logClient.readNewest([this](const newest_answer &answer, const std::string &reason) {
        if (!reason.empty()) {
            logFailure("read", reason);
        }
        m_usage.onNewest(answer, m_loop.now());
        step();
    });
}

void duty_runner::carryOut(const append_record_action &action)
{
    m_logClient.append(action.value, action.end, [this](const append_answer &answer, const std::string &reason) {
        if (!reason.empty()) {
            logFailure("append", reason);
        }
        m_usage.onAppend(answer, m_loop.now());
        step();
    });
}

void duty_runner::carryOut(const report_usage_action &action)
{
    const auto wasForbidden = std::make_shared<bool>(false);
    m_api.call(
        m_dialect.usageRequest({.instance = m_options.instance, .number = action.number}, action.window, action.counts),
        m_options.callTimeout,
        {.maySend =
             [this, number = action.number, wasForbidden] {
                 *wasForbidden = !m_usage.mayCall(number, m_clock.now());
                 return !*wasForbidden;
             },
         .onAnswer =
             [this, window = action.window](const http_response_head &head, const std::string &) {
                 if (const auto date = findHeader(head.headers, "date")) {
                     if (const auto at = parseDate(*date)) {
                         m_usage.onPlatformDate(*at, m_loop.now());
                     }
                 }
                 onReported(window, m_dialect.readOutcome(head.status), "status_" + std::to_string(head.status));
             },
         .onFailure =
             [this, window = action.window, wasForbidden](const failed_call &failed) {
                 // A call that could not arrive is one that the platform has not answered, and says as much of its state.
                 onReported(window, *wasForbidden ? call_outcome::not_sent : failed.mayHaveArrived ? call_outcome::unknown : call_outcome::busy, failed.reason);
             }});
}

void duty_runner::carryOut(const order_endpoints_action & /*action*/)
{
    m_usage.onCall(call_outcome::not_sent, m_loop.now());
}

void duty_runner::carryOut(const store_counts_action &action)
{
    m_countsClient.append(action.value, std::nullopt, [this](const append_answer &answer, const std::string &reason) {
        if (!reason.empty()) {
            logFailure("store_counts", reason);
        }
        m_usage.onCountsStored(answer.outcome == append_outcome::stored, m_loop.now());
        step();
    });
}

void duty_runner::carryOut(const read_counts_action & /*action*/)
{
    m_countsClient.readValues([this](const std::optional<std::vector<std::string>> &values, const std::string &reason) {
        if (!reason.empty()) {
            logFailure("read_counts", reason);
        }
        m_usage.onCountsRead(values, m_loop.now());
        step();
    });
}

void duty_runner::onReported(std::int64_t window, call_outcome outcome, const std::string &reason)
{
    if (outcome != call_outcome::accepted) {
        logFailure("report", std::to_string(window) + "/" + reason);
    }
    m_usage.onCall(outcome, m_loop.now());
    step();
}

void duty_runner::logFailure(std::string_view call, const std::string &reason)
{
    m_counters.count(event_number::duty_call_failed, std::string(call));
    m_log.write(event_number::duty_call_failed, {{"duty", std::string(usageKey)}, {"call", std::string(call)}, {"reason", asWord(reason)}});
}

void duty_runner::logEvents()
{
    for (const auto &event : m_usage.takeEvents()) {
        m_counters.count(eventOf(event.kind), std::string(usageKey));
        m_log.write(eventOf(event.kind),
                    {{"duty", std::string(usageKey)},
                     {"number", std::to_string(event.number)},
                     {"window", event.window < 0 ? "-" : std::to_string(event.window)},
                     {"holder", asWord(event.holder)},
                     {"cause", asWord(event.cause)},
                     {"total", std::to_string(event.total)}});
    }
}

void duty_runner::tellPeers()
{
    auto notice = m_usage.notice(m_loop.now(), wall());
    // What others have learnt from the holder they do not pass on at once.
    const bool isNews = notice.isAble != m_lastNotice.isAble || notice.isLeaving != m_lastNotice.isLeaving
        || (notice.holder == m_options.instance && (notice.number != m_lastNotice.number || notice.reportedThrough != m_lastNotice.reportedThrough));
    if (!m_send || (!isNews && m_loop.now() - m_noticedAt < m_options.noticePeriod)) {
        return;
    }
    m_noticedAt = m_loop.now();
    m_lastNotice = notice;
    std::vector<socket_address> peers;
    for (const auto &[peer, state] : m_peers) {
        peers.push_back(peer);
    }
    m_send(peers, {.notice = std::move(notice)});
}

void duty_runner::tellUsage()
{
    const auto now = m_loop.now();
    if (!m_send || now - m_usageToldAt < m_options.usagePeriod) {
        return;
    }
    const auto receivers = usageReceivers();
    if (receivers.empty()) {
        return;
    }
    m_usageToldAt = now;
    for (int part = 0; part < maxUsageParts && (part == 0 || m_usage.hasUsageToTell()); ++part) {
        m_send(receivers, {.notice = m_usage.notice(now, wall()), .usage = m_usage.usageToTell(m_options.maxUsageBytes, now)});
    }
}

std::vector<socket_address> duty_runner::usageReceivers() const
{
    const auto names = m_usage.usageReceivers(m_loop.now());
    std::vector<socket_address> receivers;
    for (const auto &[peer, state] : m_peers) {
        if (std::find(names.begin(), names.end(), state.instance) != names.end()) {
            receivers.push_back(peer);
        }
    }
    return receivers;
}

void duty_runner::addGauges()
{
    const auto add = [this](const std::string &name, auto read) {
        m_counters.addGauge(name, [this, read] { return static_cast<double>(read(m_usage.status(m_loop.now()))); });
    };
    add("duty_usage_held", [](const usage_duty_status &status) { return status.claim.isHolder ? 1 : 0; });
    add("duty_usage_able", [](const usage_duty_status &status) { return status.claim.isAble ? 1 : 0; });
    add("duty_usage_number", [](const usage_duty_status &status) { return status.claim.number; });
    add("duty_usage_rank", [](const usage_duty_status &status) { return status.claim.rank; });
    add("duty_usage_peers", [](const usage_duty_status &status) { return status.claim.heardPeers; });
    add("duty_usage_fixed_through", [](const usage_duty_status &status) { return status.fixedThrough; });
    add("duty_usage_reported_through", [](const usage_duty_status &status) { return status.reportedThrough; });
    add("duty_usage_wall_correction_seconds", [](const usage_duty_status &status) { return toSeconds(status.wallCorrection); });
}

} // namespace wisteriashunt

/// Carries out an entry's part in the duties of which one entry at a time makes the calls. usage_duty decides; this class calls the platform's
/// log and API, exchanges messages with peers, and logs.
#pragma once

#include "duties/usage_duty.h"
#include "evidence/metrics.h"
#include "gateway/duty_dialect.h"
#include "gateway/duty_message.h"
#include "gateway/event_log.h"
#include "gateway/gateway_settings.h"
#include "gateway/keyed_log_client.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Settings of a duty_runner.
struct duty_runner_options
{
    std::string instance;
    socket_address log;
    duty_settings duties;
    /// Time between two messages to all peers, and to those that need this entry's counts.
    duration noticePeriod = std::chrono::milliseconds(700);
    duration usagePeriod = std::chrono::milliseconds(500);
    /// Time since its last message after which a peer is sent none.
    duration peerLifetime = std::chrono::seconds(3);
    /// Most bytes of the counts in one message, so that it fits into one datagram of a network.
    std::size_t maxUsageBytes = 1100;
    /// A call to the API fails if it has no answer within this time. It normally takes milliseconds.
    duration callTimeout = std::chrono::milliseconds(900);
    /// Wall clock of the machine, which may jump.
    std::function<time_point()> wallClock = [] { return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now()); };
};

/// Not thread-safe: used from the event loop's thread only.
class duty_runner
{
public:
    using send_hook = std::function<void(const std::vector<socket_address> &peers, const duty_message &message)>;

    /// The clock is that of the loop; it is read again immediately before a call is sent. All references must outlive this object.
    duty_runner(event_loop &loop,
                event_log &log,
                metrics &counters,
                const clock_source &clock,
                const keyed_log_dialect &logDialect,
                const duty_dialect &dialect,
                const duty_runner_options &options);
    duty_runner(const duty_runner &) = delete;
    duty_runner &operator=(const duty_runner &) = delete;

    /// How messages are sent; none are as long as it is unset.
    void setSend(send_hook send);
    /// Counts a request that an endpoint has begun to run.
    void onRunBegun(const std::string &workspace);
    /// Records that the peer takes messages about duties.
    void onPeer(const socket_address &peer);
    void onMessage(const socket_address &from, const duty_message &message);
    /// To be called about every 100 ms.
    void onTick();
    /// Records that this entry leaves: it takes no duty any more.
    void beginLeaving();
    /// Tells all that is left to tell, before the process ends.
    void tellLast();

private:
    struct peer_state
    {
        std::string instance;
        time_point heardAt;
    };

    void step();
    void carryOut(const read_newest_action &action);
    void carryOut(const append_record_action &action);
    void carryOut(const report_usage_action &action);
    void carryOut(const order_endpoints_action &action);
    void carryOut(const store_counts_action &action);
    void carryOut(const read_counts_action &action);
    void onReported(std::int64_t window, call_outcome outcome, const std::string &reason);
    void logFailure(std::string_view call, const std::string &reason);
    void logEvents();
    void tellPeers();
    void tellUsage();
    /// Addresses of the entries that hold the duty or are next to hold it.
    [[nodiscard]] std::vector<socket_address> usageReceivers() const;
    void addGauges();
    [[nodiscard]] time_point wall() const;

    event_loop &m_loop;
    event_log &m_log;
    metrics &m_counters;
    const clock_source &m_clock;
    const duty_dialect &m_dialect;
    duty_runner_options m_options;
    usage_duty m_usage;
    keyed_log_client m_logClient;
    keyed_log_client m_countsClient;
    bounded_client m_api;
    send_hook m_send;
    std::map<socket_address, peer_state> m_peers;
    duty_notice m_lastNotice;
    time_point m_noticedAt;
    time_point m_usageToldAt;
    bool m_isStepping = false;
};

} // namespace wisteriashunt

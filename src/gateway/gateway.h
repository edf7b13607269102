/// The entry of wisteriashunt-entry, which forwards callers' requests to endpoints directly; the entry of wisteriashuntd, which reserves at
/// endpoint processes, is daemon/entry_daemon.h. Owns its listeners, sessions and the followers of the platform's log.
#pragma once

#include "gateway/caller_limit.h"
#include "gateway/duty_runner.h"
#include "gateway/endpoint_history.h"
#include "gateway/gateway_context.h"
#include "gateway/gateway_settings.h"
#include "gateway/list_timing.h"
#include "gateway/log_follower.h"
#include "gateway/peer_exchange.h"
#include "gateway/peer_records.h"
#include "gateway/request_session.h"
#include "gateway/stream_store.h"
#include "http/caller_connection.h"
#include "membership/record_decoders.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace wisteriashunt
{

/// Settings and platform-specific functions of an entry.
struct gateway_options
{
    gateway_settings settings;
    wire_dialect dialect;
    keyed_log_dialect logDialect;
    duty_dialect dutyDialect;
    record_decoders decoders;
    /// Whether to shut down. Polled about every 100 ms, like takeReloadRequest.
    std::function<bool()> isStopRequested;
    /// Returns whether a reload was requested, and clears the request.
    std::function<bool()> takeReloadRequest;
    /// Wall clock of the machine, which may jump.
    std::function<time_point()> wallClock = [] { return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now()); };
    /// Reads the settings again on a reload request. They are not applied: only whether they differ from those in force is logged.
    /// Throws shunt_error if they are invalid.
    std::function<gateway_settings()> reloadSettings;
};

/// An entry, which runs on the thread that calls run().
class gateway
{
public:
    gateway(gateway_options options, const clock_source &clock);
    ~gateway();
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;

    /// Serves until a stop is requested, and then until all requests and connections have ended or the grace period is nearly over.
    void run();

private:
    void onCaller(int descriptor);
    void onRequest(const std::shared_ptr<caller_connection> &caller, received_request &&request);
    void onCallerDisconnected(caller_connection &caller);
    /// Serves readiness and metrics.
    void onReadinessRequest(const std::shared_ptr<caller_connection> &caller, const received_request &request);
    void onFault(const std::shared_ptr<caller_connection> &caller, read_fault fault);
    void onDeclarations(const keyed_record &record);
    /// The log executed them after a later version.
    void onOutdatedDeclarations(const keyed_record &record);
    void onEndpointRecord(const keyed_record &record, record_timing timing);
    void onOutdatedRecord(const endpoint_record &endpoint, const log_position &place);
    void readmitEndpoints();
    void removeEndpoint(const std::string &id, std::string_view reason);
    void onTick();
    void onReadinessCaller(int descriptor);
    [[nodiscard]] caller_options callerOptions();
    void onClosedForLimit(std::string_view closed);
    /// Closes connections that are idle, and refuses partial requests, that make no progress for longer than permitted.
    void closeStaleCallers(const caller_set &callers, duration headTimeout, duration idleTimeout);
    void beginLeaving();
    void continueLeaving();
    [[nodiscard]] bool isReady() const;
    /// Whether this entry has just started and peers may have newer declarations. The log may have returned from a copy that lacks them.
    [[nodiscard]] bool isCatchingUpWithPeers() const;
    /// Version of the declarations in force; -1 if none.
    [[nodiscard]] std::int64_t declarationsVersion() const;
    /// Whether the list of endpoints was read recently, from the log or from a peer.
    [[nodiscard]] bool isEndpointListCurrent() const;
    [[nodiscard]] entry_message composeMessage();
    [[nodiscard]] entry_news composeNews();
    /// Whether other entries read the log for this one.
    [[nodiscard]] bool hasReaders() const;
    void listen();
    void startPeerExchange();
    void startDuties();
    void startStreamStore();
    void onStreamTick();
    /// Reads the list of endpoints, in a reading that begins after this call, or has a peer read it if the log does not answer.
    void readList(std::function<void(bool isRead)> onRead);
    void onListMerged(const std::optional<stream_digest> &versions, bool hasPassedOver);
    /// Tells peers of this entry's streams and of changes of the quarantine at the end of this iteration of the loop.
    void announceNews();
    /// Logs what has changed in the quarantine and announces it.
    void announceQuarantineChange();
    void onEndpointCrash(const endpoint_crash &crash);
    void onPeerMessage(const socket_address &from, const entry_message &message);
    void onPeerNews(const socket_address &from, const entry_news &news);
    void onPeerLeavingNotices(const socket_address &from, const std::vector<endpoint_incarnation> &leaving);
    void addGauges();

    gateway_options m_options;
    list_timing m_listTiming;
    const clock_source &m_clock;
    event_loop m_loop;
    event_log m_log;
    endpoint_roster m_roster;
    placement_planner m_planner;
    stream_versions m_streams;
    request_quarantine m_quarantine;
    endpoint_pool m_pool;
    endpoint_crash_watch m_crashes;
    metrics m_counters;
    std::shared_ptr<memory_ledger> m_buffers;
    gateway_context m_context;
    log_follower m_declarationsFollower;
    log_follower m_endpointsFollower;
    /// Unset if the settings name no duties.
    std::unique_ptr<duty_runner> m_duties;
    std::unique_ptr<stream_store> m_streamStore;
    std::unique_ptr<endpoint_history> m_endpointHistory;
    std::unique_ptr<peer_exchange> m_peers;
    std::unique_ptr<peer_records> m_peerRecords;
    caller_limit m_callerLimit;
    caller_limit m_readinessLimit;
    std::shared_ptr<linger_limit> m_lingers;
    std::shared_ptr<const caller_hooks> m_callerHooks;
    std::shared_ptr<const caller_hooks> m_readinessHooks;
    std::unique_ptr<channel_listener> m_callerListener;
    std::unique_ptr<channel_listener> m_readinessListener;
    std::unique_ptr<channel_listener> m_metricsListener;
    caller_set m_callers;
    caller_set m_readinessCallers;
    time_point m_connectionsRefusedAt;
    std::unordered_map<caller_connection *, std::weak_ptr<request_session>> m_sessions;
    /// Endpoints whose records were removed around an outage of the log, and when the removal takes effect.
    std::map<std::string, time_point> m_pendingRemovals;
    /// An outdated record that may be of a live endpoint, and when it is applied if the list still has it; see endpoint_roster::mayBeLive().
    struct doubtful_record
    {
        endpoint_record record;
        log_position place;
        time_point due;
    };
    /// By the ID of the endpoint.
    std::map<std::string, doubtful_record> m_doubtfulRecords;
    /// The last endpoint that was told to peers as leaving; see nextByTurns().
    endpoint_incarnation m_lastLeavingTold;
    std::optional<time_point> m_leavingSince;
    time_point m_startedAt;
    bool m_hasPeerMessage = false;
    bool m_isAnnouncementScheduled = false;
    timer_id m_announcementTimer = 0;
    /// Highest version of the declarations that a peer has announced.
    std::int64_t m_newestPeerVersion = -1;
};

} // namespace wisteriashunt

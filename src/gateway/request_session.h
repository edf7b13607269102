/// One caller's request at an entry: routing, attempts at endpoints, and the answer.
#pragma once

#include "dispatch/attempt_policy.h"
#include "dispatch/placement.h"
#include "gateway/gateway_context.h"
#include "gateway/request_admission.h"
#include "gateway/upstream_attempt.h"
#include "http/caller_connection.h"
#include "routing/matched_route.h"
#include "wisteriashunt/errors.h"

#include <memory>
#include <optional>
#include <string>

namespace wisteriashunt
{

/// One request. Exists until the caller has an answer, was cut off or has left, and no attempt at an endpoint is running.
class request_session : public std::enable_shared_from_this<request_session>
{
public:
    request_session(gateway_context &context, std::shared_ptr<caller_connection> caller, received_request request);
    ~request_session();
    request_session(const request_session &) = delete;
    request_session &operator=(const request_session &) = delete;

    void start();

    /// Called when the caller has closed its connection.
    void onCallerDisconnected();

private:
    /// Memory that the request takes.
    [[nodiscard]] std::size_t heldBytes() const;
    /// Returns why the entry takes no new request now, if so.
    [[nodiscard]] std::optional<error_kind> obstacleToTaking() const;
    /// Routes and authenticates the request by the declarations in force. Returns the error to refuse it with, if any.
    [[nodiscard]] std::optional<error_kind> admit();
    /// Has the list of endpoints read before a stream is taken up whose origin follows from the list alone.
    void readListFirst();
    void onListRead(bool isRead);
    /// Sends the admitted request, or queues it.
    void begin();
    /// Binds the stream to the software version that wrote its first event.
    void noteStreamBegun();
    void dispatch();
    /// Chooses an endpoint. Returns the reason if there is none.
    [[nodiscard]] placement_decision place();
    /// Queues the request until an endpoint has capacity or its time in the queue is over. Returns false if it may not wait.
    [[nodiscard]] bool waitInQueue(const placement_decision &refused);
    void leaveQueue();
    void refuseUnplaced(const placement_decision &decision);
    /// Returns the pauses that endpoints have asked for, or the given delay if an endpoint takes requests.
    [[nodiscard]] duration retryAfterPausesOr(duration otherwise) const;
    /// Sends the request. No other run goes on.
    void send(const placement &placed);
    void start(const std::shared_ptr<upstream_attempt> &run, const placement &placed);

    /// Schedules considerHedge() for when the run that was sent last is slow.
    void watchForSlowness();
    /// Sends the request a second time if the hedge policy permits it.
    void considerHedge(duration sinceSent);
    [[nodiscard]] slow_request slowRequest() const;
    [[nodiscard]] hedge_obstacle tryHedge(const slow_request &slow);
    [[nodiscard]] hedge_kind hedgeKind() const;
    /// Reports why the request was slow and not hedged, if so.
    void reportNoHedge();
    /// Tells the hedge policy how long the run took, or has taken so far.
    void recordTime(const upstream_attempt &run);
    /// Called when the run's answer is the one that the caller gets. Abandons the other run.
    void settleOn(const upstream_attempt &run);
    /// Returns whether another run goes on after one that has ended, which then decides.
    [[nodiscard]] bool goesOnWithOther(const upstream_attempt &run, attempt_outcome outcome);
    /// Returns the run that is not the given one, which becomes m_run; nullptr if there is none.
    [[nodiscard]] std::shared_ptr<upstream_attempt> detachOtherThan(const upstream_attempt &run);
    /// Tells the quarantine and the peers if the attempt that is about to be sent is the trial of held traits.
    void tryHeldTraits();
    /// Names the caller's attempt to connections; see upstream_connection::noteRefused().
    [[nodiscard]] std::uint64_t requestKey() const;
    /// Returns the request with its body, or only its head if the body is long; see longBodyBytes.
    [[nodiscard]] std::string buildRequest(const listed_endpoint &endpoint) const;

    [[nodiscard]] bool onHead(upstream_attempt &run, http_response_head &head);
    /// Records that the endpoint says that it leaves or asks for a pause.
    void noteNotices(const upstream_attempt &run, const response_metadata &response);
    /// Records the limit on requests per second that the endpoint declares, or that it declares none.
    void noteRateLimit(const upstream_attempt &run);
    void onBody(upstream_attempt &run, std::string_view bytes);
    /// Frees memory if messages take too much. Returns false if that has ended the run, as its caller did not read.
    [[nodiscard]] bool freeMemory(const upstream_attempt &run) const;
    /// Reports that the endpoint has begun to run the request.
    void noteRunBegun(const upstream_attempt &run);
    void onComplete(upstream_attempt &run);
    void onFailure(upstream_attempt &run, exchange_failure failure, close_reason end);
    /// Ends an attempt whose answer was framed as complete and is not, or is too large.
    void onBroken(upstream_attempt &run, std::string_view reason, std::string_view end);
    void logAttemptEnd(const upstream_attempt &run, std::string_view reason, std::string_view end);
    void onTimeout();

    void forwardEvents(upstream_attempt &run, std::string_view bytes);
    /// Updates the time to the first byte and the longest pause of the answer.
    void recordForwarding();
    void onAttemptEnded(upstream_attempt &run, attempt_outcome outcome);
    void forwardResponse();
    void refuse(error_kind kind, duration retryAfter);
    void cut(std::string_view reason);
    void finish(event_number event, const std::string &reason);
    void releaseEndpoint(upstream_attempt &run, endpoint_outcome outcome);
    /// Abandons the run if it goes on, and closes its connection.
    void dropAttempt(upstream_attempt &run);
    void dropAttempts();
    /// Reports that the request does not crash the endpoint, once for each attempt.
    void clearTraits(upstream_attempt &run);
    /// Returns the refusal if the request or its prompt is held.
    [[nodiscard]] std::optional<placement_decision> held() const;
    /// Reports the attempt to the watch for crashes if its endpoint had not begun to answer it, or only just.
    void reportUnbegun(const upstream_attempt &run);
    /// Reports the attempt as broken to the endpoint's health if the endpoint has not begun to answer for a long time.
    void reportSilence(const upstream_attempt &run);

    [[nodiscard]] attempt_state state() const;
    [[nodiscard]] duration timeLeft() const;
    [[nodiscard]] bool isStreamSuccess(const upstream_attempt &run) const;
    /// Whether the answer is a stream of server-sent events.
    [[nodiscard]] bool isEventStream(const upstream_attempt &run) const;
    /// Returns why the answer of the attempt is not whole although its framing says that it is; nullopt if it is whole.
    [[nodiscard]] std::optional<std::string> breakOfCompleteAnswer(const upstream_attempt &run) const;

    gateway_context &m_context;
    std::shared_ptr<caller_connection> m_caller;
    /// Without its body.
    received_request m_request;
    std::shared_ptr<const std::string> m_body;
    memory_charge m_charge;
    /// Whether there was no memory for the request when it had arrived.
    bool m_isRefusedForMemory = false;
    request_metadata m_metadata;
    matched_route m_route;
    std::string m_service;
    /// See waitingLineOf().
    std::string m_line;
    std::string m_workspace;
    /// Priority rank; 0 is the most urgent.
    int m_rank = 0;
    time_point m_arrival;
    time_point m_deadline;
    timer_id m_timer = 0;

    placement_request m_placementRequest;
    /// See fingerprintOf().
    std::uint64_t m_fingerprint = 0;
    /// By which the quarantine knows the request: itself, and the parts of its prompt that others may share.
    trait_set m_traits;
    std::optional<admission_queue::ticket> m_ticket;
    timer_id m_queueTimer = 0;
    /// Tries the queue again when an endpoint that limits its requests per second has a permit.
    timer_id m_permitTimer = 0;
    /// Keeps this session alive while it is queued.
    std::shared_ptr<request_session> m_selfWhileQueued;
    /// The run that goes on or, if none does, the last one; never nullptr.
    std::shared_ptr<upstream_attempt> m_run;
    /// The other run if two go on, or nullptr.
    std::shared_ptr<upstream_attempt> m_rival;
    /// A run whose whole answer was a failure while another run went on, or nullptr.
    std::shared_ptr<upstream_attempt> m_failedAnswer;
    timer_id m_hedgeTimer = 0;
    int m_hedgeChecks = 0;
    /// Why the request was not hedged at the last look; none if it was, or was never slow.
    hedge_obstacle m_hedgeObstacle = hedge_obstacle::none;
    /// Time from the arrival to the first forwarded byte, and the longest pause between forwarded bytes.
    duration m_firstByteAfter{};
    duration m_longestPause{};
    time_point m_lastByteAt;

    int m_sentAttempts = 0;
    int m_failedConnects = 0;
    bool m_mayHaveRun = false;
    /// Whether an endpoint has begun to run the request.
    bool m_hasBegunToRun = false;
    bool m_hasForwarded = false;
    /// Whether the answer that the caller gets is a stream of events.
    bool m_forwardsEvents = false;
    bool m_isFinished = false;

    /// Resumable streams: where the first event was written, once it has been.
    std::optional<stream_origin> m_origin;
    /// Whether m_origin holds only for the list as it was last read.
    bool m_needsListReading = false;
    bool m_isReadingList = false;
    std::optional<std::int64_t> m_resumeAfter;
};

} // namespace wisteriashunt

/// Request handling of an entry instance, as a state machine without I/O, threads or a clock: it takes events and returns actions.
/// Only the entry that received a request decides on its placement, its retries and its final answer.
#pragma once

#include "evidence/decision.h"
#include "membership/core_events.h"
#include "membership/endpoint_directory.h"
#include "placement/endpoint_ranker.h"
#include "request/claim_table.h"
#include "request/retry_budget.h"
#include "request/router.h"
#include "wisteriashunt/errors.h"

#include <functional>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace wisteriashunt
{

/// Settings of an entry_core.
struct entry_core_options
{
    std::string instanceName;
    /// Must be unique among all entries and their restarts, since requests are identified by it.
    std::uint64_t incarnation = 1;
    directory_options directory;
    retry_budget_options retries;
    ranker_options ranker;
    /// Maximum number of endpoints at which one request holds a reservation; 0 means all that may serve it.
    std::size_t reservationSample = 0;
    /// Maximum number of attempts for one request.
    std::uint32_t maxAttempts = 4;
    /// Time within which an appended claim must be read back from the log.
    duration claimTimeout = std::chrono::seconds(3);
    /// Time within which an endpoint process must report the state of an operation after its connection was lost, or after a repeat of the
    /// operation queried it.
    duration resolveTimeout = std::chrono::seconds(5);
    /// Returns a uniformly distributed number below its argument.
    std::function<std::uint64_t(std::uint64_t)> random;
};

/// Number of a caller's request at this entry. The code around the core never reuses one; it is also the `sequence` of `request_id`.
using caller_id = std::uint64_t;

/// A caller sent a request, and the router found its class.
struct request_received
{
    caller_id caller = 0;
    routed_request request;
};

/// A caller disconnected before its answer was complete.
struct caller_disconnected
{
    caller_id caller = 0;
};

/// The handshake with an endpoint process succeeded.
struct endpoint_connected
{
    peer_id peer = 0;
    std::string name;
    std::uint64_t incarnation = 0;
};

/// The platform's list marks exactly these endpoints as leaving.
struct endpoints_listed_leaving
{
    std::set<std::string> names;
};

/// Records were read from the claim stream, in log order.
struct claims_read
{
    /// Oldest offset that the log retains.
    log_offset firstRetained = 1;
    std::vector<log_record> records;
};

/// Whether the claim stream can be read up to its end.
struct claims_available
{
    bool available = false;
};

/// Any event that an entry_core handles.
using entry_event = std::variant<request_received,
                                 caller_disconnected,
                                 endpoint_connected,
                                 peer_message,
                                 peer_lost,
                                 endpoints_listed_leaving,
                                 claims_read,
                                 claims_available,
                                 configuration_changed,
                                 leave_requested,
                                 tick>;

/// Send the caller a complete answer of which no part was forwarded before.
struct answer_complete
{
    caller_id caller = 0;
    int httpStatus = 0;
    std::string contentType;
    std::string body;
};

/// Send the caller an error as its final answer.
struct answer_error
{
    caller_id caller = 0;
    error_kind kind = error_kind::overloaded;
    std::string detail;
    duration retryAfter{};
};

/// Forward part of a stream to the caller. The first part starts the answer.
struct answer_chunk
{
    caller_id caller = 0;
    std::string data;
};

/// End the caller's stream, which is complete.
struct answer_end
{
    caller_id caller = 0;
};

/// Abort the caller's stream so that the caller can detect that it is incomplete.
struct answer_aborted
{
    caller_id caller = 0;
};

/// Append the record to the claim stream of the platform's log.
struct append_claim
{
    std::string record;
};

/// Any action that an entry_core requests.
using entry_action = std::variant<send_to_peer, answer_complete, answer_error, answer_chunk, answer_end, answer_aborted, append_claim, decision>;

/// State of all requests that this entry has received and not yet answered.
class entry_core
{
public:
    explicit entry_core(const entry_core_options &options);

    /// Handles one event. Returns the actions in the order in which they must be executed.
    std::vector<entry_action> handle(time_point now, const entry_event &event);

    /// Returns true if every request has its final answer.
    [[nodiscard]] bool isIdle() const;

    /// Returns the number of requests without a final answer.
    [[nodiscard]] std::size_t openRequests() const;

    [[nodiscard]] const endpoint_directory &directory() const;
    [[nodiscard]] const claim_table &claims() const;

private:
    enum class request_state {
        /// Has reservations at endpoints, but has not accepted an offer.
        waiting,
        /// Has accepted an offer and waits for its claim to be read back from the log.
        claiming,
        /// The start message was sent to the endpoint.
        running,
        /// The connection was lost after the start message was sent; the endpoint process is queried for the state of the attempt.
        resolving,
        /// Another request holds the key; its endpoint process is queried for the state of that request's attempt.
        /// With attempt number 0: the request is closed, and is erased at the end of handle().
        querying_holder,
    };
    struct request
    {
        caller_id caller = 0;
        routed_request routed;
        request_state state = request_state::waiting;
        time_point arrivedAt;
        /// Number of the current attempt, from 1. 0 marks a closed request, on which no event acts.
        std::uint32_t attempt = 1;
        std::set<std::string> reservedAt;
        /// Endpoints at which reservations are made once the first endpoint has queued the request, best first.
        std::vector<std::string> planned;
        /// Endpoints that are not used for this request, because they refused it or an attempt failed there.
        std::set<std::string> excludedEndpoints;
        /// Endpoints that hold a reservation and reported that it cannot start there in time.
        std::set<std::string> overloadedAt;
        /// Error that the caller receives if no endpoint can serve the request.
        error_kind failureKind = error_kind::no_endpoint;
        /// Shortest delay that an endpoint suggested with a refusal; the maximum if none did.
        duration retryAfter = duration::max();
        std::string boundEndpoint;
        peer_id boundPeer = 0;
        std::uint64_t boundIncarnation = 0;
        /// The offer expired, or the endpoint was lost, while the claim was being written.
        bool offerLost = false;
        bool hasStarted = false;
        bool callerDisconnected = false;
        /// Number of events of the answer that were forwarded to the caller.
        std::uint32_t forwarded = 0;
        /// Offset of this request's own claim; 0 if it holds none.
        log_offset claimOffset = 0;
        /// End of the wait in the states `claiming`, `resolving` and `querying_holder`.
        time_point deadline;
        time_point nextQuery;
        /// Claim of the other request in the state `querying_holder`.
        held_claim queriedClaim;
    };
    using request_map = std::map<caller_id, request>;

    void on(const request_received &event);
    void on(const caller_disconnected &event);
    void on(const endpoint_connected &event);
    void on(const peer_message &event);
    void on(const peer_lost &event);
    void on(const endpoints_listed_leaving &event);
    void on(const claims_read &event);
    void on(const claims_available &event);
    void on(const configuration_changed &event);
    void on(const leave_requested &event);
    void on(const tick &event);

    void onMessage(const endpoint_view &from, const heartbeat &load);
    void onMessage(const endpoint_view &from, const queued &reply);
    void onMessage(const endpoint_view &from, const offer &reply);
    void onMessage(const endpoint_view &from, const refused &reply);
    void onMessage(const endpoint_view &from, const chunk &reply);
    void onMessage(const endpoint_view &from, const finished &reply);
    void onMessage(const endpoint_view &from, const failed &reply);
    void onMessage(const endpoint_view &from, const fate_answer &reply);
    template<typename T>
    void onMessage(const endpoint_view &, const T &)
    {
        // Other messages are handled by the transport or are only sent by entries.
    }

    // Placement of one request.
    /// Ranks the endpoints and reserves at the best one.
    void place(request &current);
    void reserveAt(request &current, const std::string &endpointName);
    /// Reserves at the planned endpoints that have not been asked yet.
    void reserveAtRemaining(request &current);
    /// Reserves at an endpoint that has become usable, for all waiting requests that it may serve.
    void extendReservations(const std::string &endpointName);
    void dropReservation(request &current, const std::string &endpointName);
    /// Fails a waiting request if it has no reservation left that can start in time, and no planned endpoint either.
    void failIfNoEndpointCanStart(request &current);
    void withdrawAll(request &current, withdraw_reason reason, const std::string &except = {});
    [[nodiscard]] std::vector<rank_candidate> candidatesFor(const request &current) const;
    [[nodiscard]] bool mayServe(const request &current, const std::string &endpointName) const;

    // Attempts and final answers.
    void sendStart(request &current);
    /// Places a request again whose attempt is proven not to have run. Uses no retry budget.
    void reassign(request &current);
    /// Retries a request whose attempt may have run, if it is idempotent and the retry budget allows it; otherwise fails it.
    void retryOrFail(request &current, const std::string &detail);
    /// `connectionLost` is false if the endpoint process is silent but still connected.
    void onEndpointLost(const std::string &endpointName, bool connectionLost);
    void complete(request &current, const finished &outcome);
    /// Aborts the stream, or answers with `failureKind` if nothing was forwarded.
    void failRequest(request &current);
    void finishWithError(request &current, error_kind kind, const std::string &detail, duration retryAfter);
    void abortStream(request &current);
    void close(request &current);
    void eraseClosed();

    // Operations that must run at most once.
    void admitKeyed(request &current);
    /// Queries the endpoint process that the claim of another request names.
    void queryClaimHolder(request &current, const held_claim &held);
    void bindWithClaim(request &current);
    void onOwnClaim(const log_record &record, const claim &recordedClaim);
    void voidClaim(request &current);
    void onOwnFate(request &current, const fate_answer &reply);
    void onHolderFate(request &current, const fate_answer &reply);
    void queryFate(request &current);
    void checkDeadline(request &current);
    [[nodiscard]] claim_key keyOf(const request &current) const;
    [[nodiscard]] static bool isKeyed(const request &current);

    /// Returns the request if `id` is its current attempt, otherwise nullptr.
    request *findCurrent(const attempt_id &id);
    [[nodiscard]] attempt_id attemptOf(const request &current) const;
    void send(const std::string &endpointName, message content);
    void recordDecision(event_number event, const request &current, const std::string &reason);

    entry_core_options m_options;
    endpoint_directory m_directory;
    endpoint_ranker m_ranker;
    retry_budget m_retries;
    claim_table m_claims;
    configuration_state m_configuration;
    request_map m_requests;
    std::vector<caller_id> m_closed;
    std::set<std::string> m_usable;
    bool m_claimsAvailable = false;
    bool m_isLeaving = false;
    time_point m_now{};
    std::vector<entry_action> m_actions;
};

} // namespace wisteriashunt

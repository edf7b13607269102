/// The decisions of an entry instance. It alone decides the fate of a request that it took. No I/O, no threads and no clock: events in, actions out.
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
    std::uint64_t incarnation = 1;
    directory_options directory;
    retry_budget_options retries;
    ranker_options ranker;
    /// Most endpoints at which one request holds a reservation; 0 means all that may serve it.
    std::size_t reservationSample = 0;
    /// Most attempts for one request.
    std::uint32_t maxAttempts = 4;
    /// Longest wait for a claim to come back from the log.
    duration claimTimeout = std::chrono::seconds(3);
    /// Longest wait for an endpoint process to tell the fate of a lost operation.
    duration resolveTimeout = std::chrono::seconds(5);
    /// Returns a uniform number below its argument.
    std::function<std::uint64_t(std::uint64_t)> random;
};

/// Number of a caller's request at this entry. The shell never reuses one.
using caller_id = std::uint64_t;

/// A caller sent a request that could be routed.
struct request_received
{
    caller_id caller = 0;
    routed_request request;
};

/// A caller closed its connection before its answer was complete.
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

/// The platform's list names these endpoints as leaving.
struct endpoints_listed_leaving
{
    std::set<std::string> names;
};

/// Records were read from the claim stream, in order.
struct claims_read
{
    log_offset firstRetained = 1;
    std::vector<log_record> records;
};

/// The claim stream can, or cannot, be read up to its end.
struct claims_available
{
    bool available = false;
};

/// Every event of an entry_core.
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

/// Answer the caller with a complete answer of the back end.
struct answer_complete
{
    caller_id caller = 0;
    int httpStatus = 0;
    std::string contentType;
    std::string body;
};

/// Answer the caller with an error.
struct answer_error
{
    caller_id caller = 0;
    error_kind kind = error_kind::overloaded;
    std::string detail;
    duration retryAfter{};
};

/// Forward part of a stream. The first part begins the answer.
struct answer_chunk
{
    caller_id caller = 0;
    std::string data;
};

/// The stream is complete.
struct answer_end
{
    caller_id caller = 0;
};

/// The stream broke off; the caller must be able to see that it is not complete.
struct answer_aborted
{
    caller_id caller = 0;
};

/// Append the record to the claim stream.
struct append_claim
{
    std::string record;
};

/// Every action of an entry_core.
using entry_action = std::variant<send_to_peer, answer_complete, answer_error, answer_chunk, answer_end, answer_aborted, append_claim, decision>;

/// The aggregate of all requests that this entry took.
class entry_core
{
public:
    explicit entry_core(const entry_core_options &options);

    /// Takes one event and returns the actions in the order in which they must be carried out.
    std::vector<entry_action> handle(time_point now, const entry_event &event);

    /// Returns true when every request has had its final answer.
    [[nodiscard]] bool isIdle() const;

    /// Returns the number of requests without a final answer.
    [[nodiscard]] std::size_t openRequests() const;

    [[nodiscard]] const endpoint_directory &directory() const;
    [[nodiscard]] const claim_table &claims() const;

private:
    enum class request_state {
        /// Reservations are placed, no offer is bound.
        waiting,
        /// An offer is bound, the claim is on its way through the log.
        claiming,
        /// The start was sent.
        running,
        /// The connection was lost after the start was sent, the endpoint process is asked what became of it.
        resolving,
        /// Another request holds the key, its endpoint process is asked what became of it.
        querying_holder,
    };
    struct request
    {
        caller_id caller = 0;
        routed_request routed;
        request_state state = request_state::waiting;
        time_point arrivedAt;
        std::uint32_t attempt = 1;
        std::set<std::string> reservedAt;
        std::vector<std::string> planned;
        std::set<std::string> excludedEndpoints;
        /// Endpoints that hold a reservation and have said that it cannot start in time there.
        std::set<std::string> overloadedAt;
        error_kind failureKind = error_kind::no_endpoint;
        duration retryAfter = duration::max();
        std::string boundEndpoint;
        peer_id boundPeer = 0;
        std::uint64_t boundIncarnation = 0;
        bool offerLost = false;
        bool hasStarted = false;
        bool callerDisconnected = false;
        std::uint32_t forwarded = 0;
        log_offset claimOffset = 0;
        time_point deadline;
        time_point nextQuery;
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
        // Other messages are the transport's or flow the other way.
    }

    // Placement of one request.
    void place(request &current);
    void reserveAt(request &current, const std::string &endpointName);
    void reserveAtRemaining(request &current);
    void extendReservations(const std::string &endpointName);
    void dropReservation(request &current, const std::string &endpointName);
    /// Gives up a waiting request that no endpoint can start, or start in time.
    void failIfNoEndpointCanStart(request &current);
    void withdrawAll(request &current, withdraw_reason reason, const std::string &except = {});
    [[nodiscard]] std::vector<rank_candidate> candidatesFor(const request &current) const;
    [[nodiscard]] bool mayServe(const request &current, const std::string &endpointName) const;

    // Life of one attempt.
    void sendStart(request &current);
    void reassign(request &current);
    void retryOrFail(request &current, const std::string &detail);
    void onEndpointLost(const std::string &endpointName, bool connectionLost);
    void complete(request &current, const finished &outcome);
    void failRequest(request &current);
    void finishWithError(request &current, error_kind kind, const std::string &detail, duration retryAfter);
    void abortStream(request &current);
    void close(request &current);
    void eraseClosed();

    // Operations that must not repeat.
    void admitKeyed(request &current);
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

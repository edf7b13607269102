/// The life of one caller's request at an entry: routing, attempts at endpoints, and the one answer.
#pragma once

#include "dispatch/attempt_policy.h"
#include "dispatch/placement.h"
#include "gateway/event_splitter.h"
#include "gateway/gateway_context.h"
#include "http/caller_connection.h"
#include "routing/route_table.h"
#include "wisteriashunt/errors.h"

#include <memory>
#include <optional>
#include <string>

namespace wisteriashunt
{

/// One request. Lives until it is answered, cut or abandoned and its endpoint is done with it.
class request_session : public std::enable_shared_from_this<request_session>
{
public:
    request_session(gateway_context &context, std::shared_ptr<caller_connection> caller, received_request request);
    ~request_session();
    request_session(const request_session &) = delete;
    request_session &operator=(const request_session &) = delete;

    void start();

    /// The caller has closed its connection.
    void onCallerGone();

private:
    /// Routes and authenticates. Returns the error that refuses the request, if any.
    [[nodiscard]] std::optional<error_kind> admit();
    void dispatch();
    /// Places the request if there is room. Returns why not otherwise.
    [[nodiscard]] placement_decision place();
    /// Waits in line for room as long as the answer can still begin on time. Returns false if it may not wait.
    [[nodiscard]] bool waitInLine(const placement_decision &refused);
    void leaveLine();
    void refuseUnplaced(const placement_decision &decision);
    void send(const placement &placed);
    [[nodiscard]] std::string buildRequest(const listed_endpoint &endpoint) const;

    [[nodiscard]] bool onHead(http_response_head &head);
    void onBody(std::string_view bytes);
    void onComplete();
    void onFailure(exchange_failure failure, channel_end end);
    void onTimeout();

    void forwardEvents(std::string_view bytes);
    void notePace();
    void afterAttempt(attempt_outcome outcome);
    void passOn();
    void refuse(error_kind kind, duration retryAfter);
    void cut(std::string_view reason);
    void finish(event_number event, const std::string &reason);
    void releaseEndpoint(endpoint_outcome outcome);
    void dropAttempt();
    /// Tells the health record of an endpoint that has not answered for long.
    void noteSilence();

    [[nodiscard]] attempt_state state() const;
    [[nodiscard]] duration timeLeft() const;
    [[nodiscard]] bool isStreamSuccess() const;
    [[nodiscard]] duration usefulWait() const;

    gateway_context &m_context;
    std::shared_ptr<caller_connection> m_caller;
    received_request m_request;
    request_facts m_facts;
    std::shared_ptr<const route_table> m_table;
    const route *m_route = nullptr;
    std::string m_service;
    std::string m_workspace;
    /// Place in the order of urgency; 0 is the first.
    int m_rank = 0;
    time_point m_arrival;
    time_point m_deadline;
    timer_id m_timer = 0;

    placement_request m_placementRequest;
    std::optional<admission_queue::ticket> m_ticket;
    timer_id m_lineTimer = 0;
    std::shared_ptr<request_session> m_whileInLine;
    std::optional<placement> m_placed;
    std::shared_ptr<upstream_connection> m_exchange;
    time_point m_sentAt;
    bool m_hasFirstByte = false;
    /// Time from the arrival to the first forwarded byte, and the longest pause after it.
    duration m_firstByteAfter{};
    duration m_longestPause{};
    time_point m_lastByteAt;

    int m_sentAttempts = 0;
    int m_failedConnects = 0;
    bool m_mayHaveRun = false;
    bool m_hasForwarded = false;
    bool m_isFinished = false;

    http_response_head m_head;
    response_facts m_response;
    std::string m_body;
    event_splitter m_events;
    std::optional<std::int64_t> m_resumeAfter;
};

} // namespace wisteriashunt

/// Scheduling logic of an endpoint process, the only scheduler of its back end. It maps events to actions without I/O, threads or a clock.
#pragma once

#include "endpoint/concurrency_limiter.h"
#include "endpoint/operation_ledger.h"
#include "endpoint/wait_predictor.h"
#include "endpoint/work_queue.h"
#include "evidence/decision.h"
#include "membership/core_events.h"
#include "wisteriashunt/errors.h"

#include <functional>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace wisteriashunt
{

/// Settings of an endpoint_core.
struct endpoint_core_options
{
    std::string endpointName;
    std::uint64_t incarnation = 1;
    limiter_options limiter;
    ledger_options ledger;
    /// Time after which an unanswered offer of an idempotent attempt expires.
    duration offerLifetime = std::chrono::milliseconds(500);
    /// The same for a non-idempotent attempt. It is longer because the entry writes a claim to the log before it accepts.
    duration claimOfferLifetime = std::chrono::seconds(5);
    /// A streaming attempt fails when the back end sends nothing for this long.
    duration stallTimeout = std::chrono::seconds(10);
    /// Overrides the shedding policy. `selectShedWork` is used when it is empty.
    std::function<std::vector<std::pair<waiting_work, duration>>(time_point, const work_queue &, const wait_predictor &)> shedPolicy;
};

/// The back end sent `events` stream events of an answer.
struct upstream_chunk
{
    attempt_id id;
    std::uint32_t events = 0;
    std::string data;
};

/// The back end completed an answer.
struct upstream_finished
{
    finished outcome;
};

/// The attempt failed at the back end. `mayHaveBeenSent` is false only if the request was provably never sent.
struct upstream_failed
{
    attempt_id id;
    bool mayHaveBeenSent = true;
    std::string detail;
};

/// Every event of an endpoint_core.
using endpoint_event = std::variant<peer_message, peer_lost, upstream_chunk, upstream_finished, upstream_failed, configuration_changed, leave_requested, tick>;

/// Send the request to the back end, once and without a retry.
struct start_upstream
{
    start request;
};

/// Cancel the attempt at the back end.
struct cancel_upstream
{
    attempt_id id;
};

/// Every action of an endpoint_core. A `decision` is logged, and stored as evidence if its event requires it.
using endpoint_action = std::variant<send_to_peer, start_upstream, cancel_upstream, decision>;

/// Owns the queue, the open offers, the running attempts, the concurrency limit and the ledger of one back end.
class endpoint_core
{
public:
    explicit endpoint_core(const endpoint_core_options &options);

    /// Handles one event and returns the resulting actions, which must be carried out in order.
    std::vector<endpoint_action> handle(time_point now, const endpoint_event &event);

    /// Returns the load that heartbeats and the admin port report.
    [[nodiscard]] heartbeat status(time_point now) const;

    /// Returns true if no attempt runs and no offer is open.
    [[nodiscard]] bool isIdle() const;

    [[nodiscard]] std::uint64_t incarnation() const;
    [[nodiscard]] const work_queue &queue() const;

private:
    struct open_offer
    {
        chosen_work choice;
        time_point expires;
        /// Waiting work per tier when the work was chosen. The start decision records these counts, not those at the entry's reply.
        std::array<std::uint32_t, tierCount> waiting{};
    };
    struct running_attempt
    {
        waiting_work work;
        double chargedTokens = 0;
        time_point startedAt;
        time_point lastEventAt;
        std::uint32_t events = 0;
        std::uint32_t resumedFrom = 0;
        bool streaming = false;
    };

    void on(const peer_message &event);
    void on(const peer_lost &event);
    void on(const upstream_chunk &event);
    void on(const upstream_finished &event);
    void on(const upstream_failed &event);
    void on(const configuration_changed &event);
    void on(const leave_requested &event);
    void on(const tick &event);

    void onMessage(peer_id peer, const reserve &request);
    void onMessage(peer_id peer, const withdraw &request);
    void onMessage(peer_id peer, const start &request);
    void onMessage(peer_id peer, const cancel &request);
    void onMessage(peer_id peer, const fate_query &query);
    template<typename T>
    void onMessage(peer_id peer, const T &)
    {
        // The transport handles the other messages, or they are sent by endpoints only.
        (void)peer;
    }

    void dispatch();
    void shed();
    void expireOffers();
    void failStalledAttempts();
    void sampleSilence();
    void applyTargets(const configuration_state &state);
    void refuse(peer_id peer, const attempt_id &id, error_kind kind, duration retryAfter);
    void endAttempt(std::map<attempt_id, running_attempt>::iterator position, const std::string &reason);
    void recordDecision(event_number event, const waiting_work &work, const std::string &reason, double tokens = 0);
    void send(peer_id peer, message content);
    [[nodiscard]] bool mayServe(const std::string &className) const;
    [[nodiscard]] duration waitBudget(const traffic_class &declared) const;

    endpoint_core_options m_options;
    work_queue m_queue;
    concurrency_limiter m_limiter;
    wait_predictor m_predictor;
    operation_ledger m_ledger;
    std::map<attempt_id, open_offer> m_offers;
    std::map<attempt_id, running_attempt> m_running;
    log_offset m_configurationOffset = 0;
    bool m_isLeaving = false;
    bool m_isService = false;
    time_point m_now{};
    time_point m_lastSilenceSample{};
    time_point m_lastShed{};
    std::vector<endpoint_action> m_actions;
};

} // namespace wisteriashunt

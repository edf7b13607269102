/// Decision records. They are the evidence of which request was served, in which order and why.
#pragma once

#include "wisteriashunt/messages.h"
#include "wisteriashunt/resources.h"

#include <array>
#include <cstdint>
#include <string>

namespace wisteriashunt
{

/// Numbers of the logged events. Those that docs/EVENTS.md marks as evidence are also appended to the evidence stream.
enum class event_number : int {
    request_taken = 101,
    request_answered = 102,
    request_refused = 103,
    request_cut = 104,
    reservations_placed = 110,
    offer_bound = 111,
    attempt_retried = 112,
    claim_won = 120,
    claim_lost = 121,
    fate_resolved = 122,
    hedge_sent = 130,
    hedge_won = 131,
    hedge_lost = 132,
    hedge_not_sent = 133,
    attempt_queued = 201,
    attempt_offered = 202,
    attempt_started = 203,
    attempt_ended = 204,
    attempt_shed = 205,
    attempt_withdrawn = 206,
    attempt_barred = 207,
    limit_changed = 210,
    offer_expired = 211,
    configuration_applied = 301,
    endpoint_listed = 302,
    endpoint_draining = 303,
    endpoint_gone = 304,
    endpoint_suspended = 305,
    record_unusable = 306,
    rate_limit_changed = 307,
    rate_limit_unusable = 308,
    endpoint_crashed = 309,
    prompt_held = 310,
    prompt_freed = 311,
    prompt_tried = 312,
    endpoint_leaving = 313,
    endpoint_paused = 314,
    endpoint_notice_odd = 315,
    request_held = 316,
    request_freed = 317,
    request_tried = 318,
    record_outdated = 319,
    configuration_outdated = 320,
    peer_up = 401,
    peer_down = 402,
    peer_refused = 403,
    platform_down = 501,
    platform_up = 502,
    log_restored = 503,
    streams_recovered = 504,
    endpoint_history_read = 505,
    list_read_for_stream = 506,
    process_started = 601,
    process_leaving = 602,
    process_stopped = 603,
    settings_fault = 604,
    keys_reloaded = 605,
    settings_reloaded = 606,
    log_lines_dropped = 607,
    memory_relieved = 608,
    connections_refused = 609,
    duty_taken = 701,
    duty_lost = 702,
    usage_reported = 703,
    usage_missed = 704,
    duty_disagreement = 705,
    duty_unable = 706,
    duty_able = 707,
    duty_call_failed = 708,
    endpoints_ordered = 709,
    order_refused = 710,
    service_not_scaled = 711,
};

/// One decision. Fields that do not apply to the event keep their defaults.
struct decision
{
    event_number event = event_number::request_taken;
    /// Time of the decision.
    time_point at;
    request_id request;
    std::uint32_t attempt = 0;
    std::string className;
    /// Tier of the class, 1 being the highest.
    int tier = 0;
    std::string workspaceName;
    std::string endpointName;
    std::string reason;
    /// Start of the wait.
    time_point queuedAt;
    /// Offset of the configuration in force.
    log_offset configuration = 0;
    /// Number of attempts, by tier, that waited at the endpoint process when the decision was made; for a start, when its slot was offered.
    std::array<std::uint32_t, tierCount> waiting{};
    /// Tokens of the answer; in decisions of an entry, the number of events that were forwarded to the caller.
    double tokens = 0;

    auto operator<=>(const decision &) const = default;
};

/// Returns the catalogue name of the event, for example "attempt_started".
[[nodiscard]] std::string_view toString(event_number event);

/// Returns whether the event is appended to the evidence stream of the platform's log, in addition to the process's own log.
[[nodiscard]] bool isEvidence(event_number event);

/// Returns one log line of key=value pairs in a fixed order, without the fields that do not apply.
[[nodiscard]] std::string toLogLine(const decision &value);

} // namespace wisteriashunt

#include "evidence/decision.h"

#include <sstream>

namespace wisteriashunt
{

std::string_view toString(event_number event)
{
    switch (event) {
    case event_number::request_taken:
        return "request_taken";
    case event_number::request_answered:
        return "request_answered";
    case event_number::request_refused:
        return "request_refused";
    case event_number::request_cut:
        return "request_cut";
    case event_number::reservations_placed:
        return "reservations_placed";
    case event_number::offer_bound:
        return "offer_bound";
    case event_number::attempt_retried:
        return "attempt_retried";
    case event_number::claim_won:
        return "claim_won";
    case event_number::claim_lost:
        return "claim_lost";
    case event_number::fate_resolved:
        return "fate_resolved";
    case event_number::attempt_queued:
        return "attempt_queued";
    case event_number::attempt_offered:
        return "attempt_offered";
    case event_number::attempt_started:
        return "attempt_started";
    case event_number::attempt_ended:
        return "attempt_ended";
    case event_number::attempt_shed:
        return "attempt_shed";
    case event_number::attempt_withdrawn:
        return "attempt_withdrawn";
    case event_number::attempt_barred:
        return "attempt_barred";
    case event_number::limit_changed:
        return "limit_changed";
    case event_number::offer_expired:
        return "offer_expired";
    case event_number::configuration_applied:
        return "configuration_applied";
    case event_number::endpoint_listed:
        return "endpoint_listed";
    case event_number::endpoint_draining:
        return "endpoint_draining";
    case event_number::endpoint_gone:
        return "endpoint_gone";
    case event_number::endpoint_suspended:
        return "endpoint_suspended";
    case event_number::record_outdated:
        return "record_outdated";
    case event_number::configuration_outdated:
        return "configuration_outdated";
    case event_number::record_unusable:
        return "record_unusable";
    case event_number::hedge_sent:
        return "hedge_sent";
    case event_number::hedge_won:
        return "hedge_won";
    case event_number::hedge_lost:
        return "hedge_lost";
    case event_number::hedge_not_sent:
        return "hedge_not_sent";
    case event_number::rate_limit_changed:
        return "rate_limit_changed";
    case event_number::rate_limit_unusable:
        return "rate_limit_unusable";
    case event_number::endpoint_crashed:
        return "endpoint_crashed";
    case event_number::endpoint_leaving:
        return "endpoint_leaving";
    case event_number::endpoint_paused:
        return "endpoint_paused";
    case event_number::endpoint_notice_odd:
        return "endpoint_notice_odd";
    case event_number::prompt_held:
        return "prompt_held";
    case event_number::prompt_freed:
        return "prompt_freed";
    case event_number::prompt_tried:
        return "prompt_tried";
    case event_number::request_held:
        return "request_held";
    case event_number::request_freed:
        return "request_freed";
    case event_number::request_tried:
        return "request_tried";
    case event_number::peer_up:
        return "peer_up";
    case event_number::peer_down:
        return "peer_down";
    case event_number::peer_refused:
        return "peer_refused";
    case event_number::platform_down:
        return "platform_down";
    case event_number::platform_up:
        return "platform_up";
    case event_number::log_restored:
        return "log_restored";
    case event_number::streams_recovered:
        return "streams_recovered";
    case event_number::endpoint_history_read:
        return "endpoint_history_read";
    case event_number::list_read_for_stream:
        return "list_read_for_stream";
    case event_number::process_started:
        return "process_started";
    case event_number::process_leaving:
        return "process_leaving";
    case event_number::process_stopped:
        return "process_stopped";
    case event_number::settings_fault:
        return "settings_fault";
    case event_number::keys_reloaded:
        return "keys_reloaded";
    case event_number::settings_reloaded:
        return "settings_reloaded";
    case event_number::log_lines_dropped:
        return "log_lines_dropped";
    case event_number::memory_relieved:
        return "memory_relieved";
    case event_number::connections_refused:
        return "connections_refused";
    case event_number::duty_taken:
        return "duty_taken";
    case event_number::duty_lost:
        return "duty_lost";
    case event_number::usage_reported:
        return "usage_reported";
    case event_number::usage_missed:
        return "usage_missed";
    case event_number::duty_disagreement:
        return "duty_disagreement";
    case event_number::duty_unable:
        return "duty_unable";
    case event_number::duty_able:
        return "duty_able";
    case event_number::duty_call_failed:
        return "duty_call_failed";
    case event_number::endpoints_ordered:
        return "endpoints_ordered";
    case event_number::order_refused:
        return "order_refused";
    case event_number::service_not_scaled:
        return "service_not_scaled";
    }
    return "unknown";
}

bool isEvidence(event_number event)
{
    switch (event) {
    case event_number::request_taken:
    case event_number::request_answered:
    case event_number::request_refused:
    case event_number::request_cut:
    case event_number::attempt_started:
    case event_number::attempt_ended:
    case event_number::attempt_shed:
    case event_number::attempt_barred:
        return true;
    default:
        return false;
    }
}

std::string toLogLine(const decision &value)
{
    std::ostringstream line;
    line << "event=" << static_cast<int>(value.event) << " name=" << toString(value.event);
    if (value.request != request_id{}) {
        line << " request=" << toString(value.request) << " attempt=" << value.attempt;
    }
    const auto field = [&line](std::string_view key, const std::string &text) {
        if (!text.empty()) {
            line << ' ' << key << '=' << text;
        }
    };
    field("class", value.className);
    if (value.tier > 0) {
        line << " tier=" << value.tier;
    }
    field("workspace", value.workspaceName);
    field("endpoint", value.endpointName);
    field("reason", value.reason);
    if (value.queuedAt != time_point{}) {
        line << " waited_us=" << (value.at - value.queuedAt).count();
    }
    line << " configuration=" << value.configuration << " waiting=" << value.waiting[0] << '/' << value.waiting[1] << '/' << value.waiting[2];
    if (value.tokens > 0) {
        line << " tokens=" << value.tokens;
    }
    return line.str();
}

} // namespace wisteriashunt

#include "gateway/quarantine_operations.h"

#include "gateway/endpoint_crash_watch.h"

#include <charconv>
#include <string_view>

namespace wisteriashunt
{

namespace
{

constexpr std::string_view listTarget = "/quarantine";
constexpr std::string_view freeRequestTarget = "/quarantine/free?request=";
constexpr std::string_view freePartTarget = "/quarantine/free?part=";

std::optional<std::uint64_t> parseHexadecimal(std::string_view text)
{
    constexpr int base = 16;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

std::string listHeld(const request_quarantine &quarantine, time_point now)
{
    std::string text;
    for (const auto &held : quarantine.held(now)) {
        const bool isRequest = kindOf(held.traits) == trait_kind::whole_request;
        text += std::string(isRequest ? "request=" : "parts=") + hexadecimalList(idsOf(kindOf(held.traits), held.traits)) + " service=" + held.service
            + " crashes=" + std::to_string(held.crashes) + " held_for_ms=" + milliseconds(held.age) + " trial_in_ms=" + milliseconds(held.untilTrial) + "\n";
    }
    return text;
}

operation_answer freeTrait(trait_kind kind, std::string_view text, request_quarantine &quarantine, time_point now)
{
    constexpr int ok = 200;
    constexpr int badRequest = 400;
    constexpr int notFound = 404;
    const auto id = parseHexadecimal(text);
    if (!id) {
        return {.status = badRequest, .text = "expected a hexadecimal number of at most 16 digits, found '" + std::string(text) + "'\n"};
    }
    return quarantine.freeByOperator({kind, *id}, now) ? operation_answer{.status = ok, .text = "freed\n"}
                                                       : operation_answer{.status = notFound, .text = "not held here\n"};
}

} // namespace

void logQuarantineChanges(event_log &log, request_quarantine &quarantine)
{
    for (const auto &[held, isHeld, reason] : quarantine.takeChanges()) {
        const bool isRequest = kindOf(held.traits) == trait_kind::whole_request;
        const auto event =
            isRequest ? (isHeld ? event_number::request_held : event_number::request_freed) : (isHeld ? event_number::prompt_held : event_number::prompt_freed);
        log.write(event,
                  {{"service", held.service},
                   {isRequest ? "fingerprint" : "parts", hexadecimalList(idsOf(kindOf(held.traits), held.traits))},
                   {"reason", reason},
                   {"crashes", std::to_string(held.crashes)},
                   {"held_for_ms", milliseconds(held.age)},
                   {"trial_in_ms", milliseconds(held.untilTrial)}});
    }
}

std::optional<operation_answer> answerQuarantineOperation(const received_request &call, request_quarantine &quarantine, time_point now)
{
    constexpr int ok = 200;
    const std::string_view target = call.target;
    if (call.method == "GET" && target == listTarget) {
        return operation_answer{.status = ok, .text = listHeld(quarantine, now)};
    }
    if (call.method == "POST" && target.starts_with(freeRequestTarget)) {
        return freeTrait(trait_kind::whole_request, target.substr(freeRequestTarget.size()), quarantine, now);
    }
    if (call.method == "POST" && target.starts_with(freePartTarget)) {
        return freeTrait(trait_kind::prompt_part, target.substr(freePartTarget.size()), quarantine, now);
    }
    return std::nullopt;
}

} // namespace wisteriashunt

/// What operators see of held requests and prompts, and how they free them.
#pragma once

#include "dispatch/request_quarantine.h"
#include "gateway/event_log.h"
#include "http/message.h"

#include <optional>
#include <string>

namespace wisteriashunt
{

/// Writes a line for each change since the last call.
void logQuarantineChanges(event_log &log, request_quarantine &quarantine);

/// Answer to an operator's call.
struct operation_answer
{
    int status = 0;
    std::string text;

    bool operator==(const operation_answer &) const = default;
};

/// Answers `GET /quarantine`, which lists what is held, one combination a line, and `POST /quarantine/free?request=FINGERPRINT` or `?part=ID`, both in
/// hexadecimal, which frees a request or a part of prompts at all entries. Returns nullopt for other calls.
[[nodiscard]] std::optional<operation_answer> answerQuarantineOperation(const received_request &call, request_quarantine &quarantine, time_point now);

} // namespace wisteriashunt

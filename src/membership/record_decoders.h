/// Decoders of the platform's records, and how their contents order them.
#pragma once

#include "membership/endpoint_roster.h"
#include "membership/topic_records.h"
#include "wisteriashunt/routing.h"

#include <functional>
#include <string>

namespace wisteriashunt
{

/// Decoders of the platform's records. They throw shunt_error with the reason if a record is invalid.
struct record_decoders
{
    std::function<routing_declarations(const std::string &value)> declarations;
    std::function<endpoint_record(const std::string &key, const std::string &value)> endpoint;
    std::string declarationsTopic;
    std::string declarationsKey;
    std::string endpointsTopic;
};

/// Declarations never go back: a version that an earlier epoch of the log held stays in force until the log has it again or a newer one.
[[nodiscard]] topic_rules declarationRules(const record_decoders &decoders);

/// An endpoint's records are ordered by its incarnations and the sequence within each.
[[nodiscard]] topic_rules endpointRules(const record_decoders &decoders);

} // namespace wisteriashunt

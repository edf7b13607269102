/// Explains to an operator where a request would go now, and why, without sending it.
#pragma once

#include "gateway/gateway_context.h"
#include "gateway/quarantine_operations.h"

#include <optional>

namespace wisteriashunt
{

/// Answers `POST /explain`, whose body describes a request as a JSON object (docs/OPERATIONS.md); nullopt for other calls. The decision is the one
/// that a request would meet that arrives now, by the same code; nothing changes by the question. Answers hold no API keys.
[[nodiscard]] std::optional<operation_answer> answerExplainOperation(const received_request &call, gateway_context &context);

} // namespace wisteriashunt

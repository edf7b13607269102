/// Answers that refuse a request or say that its outcome is unknown.
#pragma once

#include "gateway/wire_dialect.h"
#include "wisteriashunt/errors.h"

#include <string>

namespace wisteriashunt
{

/// Retry delay of requests that are refused because messages take too much memory.
inline constexpr std::chrono::milliseconds memoryRetryAfter{1000};

/// Status line and fields without the empty line that ends them, and the body.
struct refusal
{
    std::string head;
    std::string body;
};

/// retryAfter is stated only if the request has not run and may be sent again.
[[nodiscard]] refusal makeRefusal(const wire_dialect &dialect, error_kind kind, duration retryAfter);

} // namespace wisteriashunt

/// What an entry needs to know of the header fields that callers and endpoints use. The platform's adapter fills in the hooks.
#pragma once

#include "http/message.h"
#include "wisteriashunt/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// A part of a prompt. Prompts that begin with the same parts share them in an engine's memory.
struct prompt_part
{
    std::uint64_t id = 0;
    std::int64_t tokens = 0;

    bool operator==(const prompt_part &) const = default;
};

/// What the header fields of a caller's request say.
struct request_metadata
{
    /// Names this attempt of the caller; endpoints echo it.
    std::string attemptId;
    std::string apiKey;
    /// How long the caller will wait.
    std::optional<duration> callerTimeout;
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    std::vector<prompt_part> prompt;
    /// The stream goes on after this event.
    std::optional<std::int64_t> lastEvent;

    bool operator==(const request_metadata &) const = default;
};

/// What an entry tells an endpoint beside the caller's own fields.
struct forwarding_metadata
{
    /// The endpoint that must take the request; any other refuses it without running it.
    std::string endpointId;
    std::string workspace;
    duration timeLeft{};
    /// 0 is the most urgent; only sent where the endpoint queues by it.
    std::optional<int> priority;
    /// Resume after this event instead of where the caller asked to.
    std::optional<std::int64_t> lastEvent;
};

/// What the header fields of an endpoint's response say.
struct response_metadata
{
    /// The attempt that the response belongs to; empty if it does not say.
    std::string attemptId;
    /// The endpoint states that it did not run the request.
    bool didNotRun = false;
    /// The endpoint has signed the response.
    bool isSigned = false;
};

/// Translates between header fields and the terms above.
struct wire_dialect
{
    std::function<request_metadata(const header_list &)> readRequest;
    std::function<response_metadata(int status, const header_list &)> readResponse;
    /// Appends the fields of a caller's request that endpoints may see, then those that the entry sets.
    std::function<void(std::string &out, const header_list &endToEnd, const forwarding_metadata &)> writeForwarded;
    /// Appends the fields of a refusal: when to come back.
    std::function<void(std::string &out, duration retryAfter)> writeRetryAfter;
    /// The path that tells the balancer whether this entry takes new connections.
    std::string readinessPath;
};

} // namespace wisteriashunt

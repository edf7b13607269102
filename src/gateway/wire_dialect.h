/// Translation between an entry's terms and the header fields of callers and endpoints. The platform's adapter provides the functions.
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

/// A part of a prompt. An engine caches parts; prompts that begin with the same parts share the cached ones.
struct prompt_part
{
    std::uint64_t id = 0;
    std::int64_t tokens = 0;

    bool operator==(const prompt_part &) const = default;
};

/// Metadata of a caller's request, from its header fields.
struct request_metadata
{
    /// ID of this attempt of the caller; endpoints echo it.
    std::string attemptId;
    std::string apiKey;
    /// Time that the caller waits for the answer.
    std::optional<duration> callerTimeout;
    /// Parsed but not used by the router.
    std::string model;
    std::int64_t promptTokens = 0;
    /// Parsed but not used by the router.
    std::int64_t maxOutputTokens = 0;
    std::vector<prompt_part> prompt;
    /// ID of the event after which the stream is to resume.
    std::optional<std::int64_t> lastEvent;
    /// If a stream is to resume: ID of the caller's attempt that brought its first event; empty if the caller names none.
    std::string resumedAttempt;

    bool operator==(const request_metadata &) const = default;
};

/// Metadata that an entry adds to the caller's fields when it forwards a request.
struct forwarding_metadata
{
    /// ID of the endpoint that the request is for; any other endpoint refuses the request without running it.
    std::string endpointId;
    std::string workspace;
    duration timeLeft{};
    /// 0 is the most urgent. Set only if the endpoint queues by priority.
    std::optional<int> priority;
    /// ID of the event after which to resume, in place of the caller's own.
    std::optional<std::int64_t> lastEvent;
};

/// Metadata of an endpoint's response, from its status and header fields.
struct response_metadata
{
    /// ID of the attempt that the response answers; empty if it has none.
    std::string attemptId;
    /// The endpoint states that it did not run the request.
    bool didNotRun = false;
    /// The response carries the endpoint's signature.
    bool isSigned = false;
    /// The response comes from another endpoint than the one that the request was for.
    bool isFromOtherEndpoint = false;
    /// Requests per second that the endpoint takes from all entries together, if it declares a limit. Finite and not negative; the smallest
    /// if it declares several.
    std::optional<double> rateLimit;
    /// Text of a declared limit that is no such number, if there is one.
    std::optional<std::string> unusableRateLimit;
    /// The endpoint states that it leaves.
    bool isLeaving = false;
    /// Time for which the endpoint, which has turned the request away, wants no further requests of this entry. Positive, at most a day; the
    /// longest if several are stated.
    std::optional<duration> pause;
    /// Name and text of each such statement that is out of the ordinary: not readable, and then ignored, or not a whole number of seconds up to
    /// a day, and then used as far as it can be.
    std::vector<std::string> oddNotices;
};

/// Functions that translate between header fields and the types above.
struct wire_dialect
{
    std::function<request_metadata(const header_list &)> readRequest;
    std::function<response_metadata(int status, const header_list &)> readResponse;
    /// Appends the fields of a caller's request that endpoints may see, then those of the forwarding metadata.
    std::function<void(std::string &out, const header_list &endToEnd, const forwarding_metadata &)> writeForwarded;
    /// Appends the field that says after what time to retry a refused request.
    std::function<void(std::string &out, duration retryAfter)> writeRetryAfter;
    /// Path at which the balancer asks whether this entry accepts new connections.
    std::string readinessPath;
};

} // namespace wisteriashunt

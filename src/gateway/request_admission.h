/// What an entry decides about a request before it looks at endpoints: route, rank, service, and for a stream that goes on its software
/// version. Shared by sessions and by the explanation of a placement.
#pragma once

#include "dispatch/placement.h"
#include "dispatch/request_quarantine.h"
#include "dispatch/stream_versions.h"
#include "dispatch/waiting_line.h"
#include "gateway/wire_dialect.h"
#include "routing/matched_route.h"
#include "wisteriashunt/errors.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// A request as far as it was routed.
struct admitted_request
{
    /// Set if a route matches, whatever the error.
    matched_route matchedRoute;
    std::string workspace;
    /// Priority rank; 0 is the most urgent.
    int rank = 0;
    std::string service;
    /// Streams that go on: where they began.
    std::optional<stream_origin> origin;
    /// Whether that, or that it is not known, holds only for the list as it was last read; see stream_versions::needsReading().
    bool needsListReading = false;
    /// Why the request is refused, if it is.
    std::optional<error_kind> error;
};

/// Returns the workspace that the caller belongs to, or nullptr.
using workspace_lookup = std::function<const workspace_declaration *(const route_table &table)>;

/// Whether the caller takes up a stream that has begun before.
[[nodiscard]] bool isResumption(const route &matchedRoute, const request_metadata &metadata);

/// Routes a request. host: nullptr if the request names none. The result keeps the table alive.
[[nodiscard]] admitted_request admitRequest(const std::shared_ptr<const route_table> &table,
                                            stream_versions &streams,
                                            const std::string *host,
                                            std::string_view target,
                                            const request_metadata &metadata,
                                            const workspace_lookup &findWorkspace,
                                            time_point now);

/// Returns the properties of an admitted request that determine its placement, except those that depend on the time that is left.
[[nodiscard]] placement_request placementRequestOf(const admitted_request &admitted, const request_metadata &metadata);

/// Returns the time within which the answer must be complete.
[[nodiscard]] duration timeLimitOf(const route &matchedRoute, const request_metadata &metadata);

/// Returns the longest acceptable time to the first byte, if so much time is left for the whole answer.
[[nodiscard]] duration maxFirstByteWaitOf(duration timeLeft);

/// Returns the time from its arrival for which a request may wait for an endpoint with capacity.
[[nodiscard]] duration queueTimeOf(const route &matchedRoute);

/// Returns the parts of a prompt that other prompts may share.
[[nodiscard]] trait_set sharedParts(const std::vector<prompt_part> &prompt);

/// Returns the refusal if the request or its prompt is held.
[[nodiscard]] std::optional<placement_decision>
heldDecision(const request_quarantine &quarantine, const std::string &service, const trait_set &traits, time_point now);

/// Returns the error that a caller gets whose request was not placed.
[[nodiscard]] error_kind errorOf(placement_refusal refusal);

} // namespace wisteriashunt

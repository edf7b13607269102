/// Identifies requests that ask endpoints for the same work.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// What makes two requests the same to an endpoint. IDs of attempts, operation keys, deadlines and what is said of the prompt are left out: they differ
/// between repeats of one request. The method belongs to it, since the same path and body under another method ask for other work.
struct request_identity
{
    std::string_view method;
    /// Path and query.
    std::string_view target;
    /// Name of the caller's workspace, whichever of its keys the request carries; empty on public routes, whose callers an endpoint cannot tell apart.
    std::string_view workspace;
    std::string_view body;
};

/// Returns the same number at every entry. Different requests of one workspace may be made to collide on purpose, those of two workspaces only by accident.
[[nodiscard]] std::uint64_t fingerprintOf(const request_identity &identity);

/// Formats a fingerprint for log lines.
[[nodiscard]] std::string toHexadecimal(std::uint64_t fingerprint);

} // namespace wisteriashunt

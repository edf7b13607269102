/// Claims on idempotency keys, reduced from the claim stream of the platform's log. Every reader reduces the same records to the same winners.
#pragma once

#include "wisteriashunt/messages.h"
#include "wisteriashunt/platform.h"

#include <map>
#include <optional>
#include <string>

namespace wisteriashunt
{

/// An idempotency key belongs to one workspace.
struct claim_key
{
    std::string workspaceName;
    std::string key;

    auto operator<=>(const claim_key &) const = default;
};

/// The recorded answer of a claimed operation.
struct claim_outcome
{
    int httpStatus = 0;
    std::string contentType;
    std::string body;

    auto operator<=>(const claim_outcome &) const = default;
};

/// A claim names the one endpoint incarnation and attempt that may run the operation.
struct claim
{
    claim_key key;
    /// Hash of method, path and body, so that a key cannot be reused for another operation.
    std::uint64_t fingerprint = 0;
    attempt_id attempt;
    std::string endpointName;
    std::uint64_t endpointIncarnation = 0;

    auto operator<=>(const claim &) const = default;
};

/// A claim in force.
struct held_claim
{
    claim value;
    log_offset offset = 0;
    std::optional<claim_outcome> outcome;

    auto operator<=>(const held_claim &) const = default;
};

/// Returns the log record that claims a key.
[[nodiscard]] std::string makeClaimRecord(const claim &value);

/// Returns the log record that records the outcome of the claim at `offset`.
[[nodiscard]] std::string makeOutcomeRecord(const claim_key &key, log_offset offset, const claim_outcome &outcome);

/// Returns the log record that voids the claim at `offset`, because its attempt is proven never to run.
[[nodiscard]] std::string makeVoidRecord(const claim_key &key, log_offset offset);

/// State of all retained claims.
class claim_table
{
public:
    /// Applies one record. Returns the claim that the record tried to make, or nothing for other records and for malformed ones.
    std::optional<claim> apply(const log_record &record);

    /// Forgets claims older than the oldest offset that the log retains.
    void eraseBefore(log_offset firstRetained);

    /// Returns the claim in force for the key, or nullptr.
    [[nodiscard]] const held_claim *find(const claim_key &key) const;

    /// Returns the offset of the last applied record.
    [[nodiscard]] log_offset offset() const;
    [[nodiscard]] std::size_t size() const;

private:
    std::map<claim_key, held_claim> m_held;
    log_offset m_offset = 0;
};

} // namespace wisteriashunt

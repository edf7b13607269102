/// Claims on idempotency keys, derived from the claim stream of the platform's log. All readers get the same winners from the same records.
#pragma once

#include "wisteriashunt/messages.h"
#include "wisteriashunt/platform.h"

#include <map>
#include <optional>
#include <string>

namespace wisteriashunt
{

/// An idempotency key, which is unique within its workspace.
struct claim_key
{
    std::string workspaceName;
    std::string key;

    auto operator<=>(const claim_key &) const = default;
};

/// Recorded answer of a claimed operation.
struct claim_outcome
{
    int httpStatus = 0;
    std::string contentType;
    std::string body;

    auto operator<=>(const claim_outcome &) const = default;
};

/// Names the only attempt and endpoint incarnation that may run the operation.
struct claim
{
    claim_key key;
    /// Hash of method, path and body. A repeat with another fingerprint is rejected.
    std::uint64_t fingerprint = 0;
    attempt_id attempt;
    std::string endpointName;
    std::uint64_t endpointIncarnation = 0;

    auto operator<=>(const claim &) const = default;
};

/// The claim that won its key and has not been voided.
struct held_claim
{
    claim value;
    /// Offset of the claim's record in the log.
    log_offset offset = 0;
    std::optional<claim_outcome> outcome;

    auto operator<=>(const held_claim &) const = default;
};

/// Returns the JSON log record that claims a key.
[[nodiscard]] std::string makeClaimRecord(const claim &value);

/// Returns the JSON log record that stores the outcome of the claim at `offset`.
[[nodiscard]] std::string makeOutcomeRecord(const claim_key &key, log_offset offset, const claim_outcome &outcome);

/// Returns the JSON log record that voids the claim at `offset`. Write it only when the attempt is proven never to run.
[[nodiscard]] std::string makeVoidRecord(const claim_key &key, log_offset offset);

/// All claims that the log retains.
class claim_table
{
public:
    /// Applies one record. Returns the claim in the record, whether or not it won, or nothing for other and for malformed records.
    /// Records at or below `offset()` are ignored.
    std::optional<claim> apply(const log_record &record);

    /// Erases claims with an offset below `firstRetained`, the oldest offset that the log retains.
    void eraseBefore(log_offset firstRetained);

    /// Returns the claim that holds the key, or nullptr.
    [[nodiscard]] const held_claim *find(const claim_key &key) const;

    /// Returns the offset of the last applied record.
    [[nodiscard]] log_offset offset() const;
    [[nodiscard]] std::size_t size() const;

private:
    std::map<claim_key, held_claim> m_held;
    log_offset m_offset = 0;
};

} // namespace wisteriashunt

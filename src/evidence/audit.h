/// Verifies evidence: the hash chains and the yield rule. By that rule, an attempt starts while work of a higher tier waits only because of a
/// floor.
#pragma once

#include "evidence/evidence_chain.h"
#include "wisteriashunt/platform.h"

#include <map>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Kinds of findings.
enum class audit_finding_kind {
    /// The record does not parse as an evidence batch.
    unreadable_record,
    /// A batch does not match its own hash, or does not continue the hash of the batch before it.
    altered_record,
    /// Numbers are missing between two batches of a chain.
    missing_record,
    /// A batch starts at a lower number than expected.
    reordered_record,
    /// The process dropped decisions while the log was unavailable, and recorded how many.
    declared_loss,
    /// An attempt started while work of a higher tier waited, and not because of a floor.
    yield_violation,
};

/// A gap or a contradiction in the evidence.
struct audit_finding
{
    audit_finding_kind kind = audit_finding_kind::unreadable_record;
    /// Offset of the log record.
    log_offset offset = 0;
    /// Empty if the record is unreadable.
    std::string instance;
    std::string detail;

    auto operator<=>(const audit_finding &) const = default;
};

/// Returns the name of the kind, for example "missing_record".
[[nodiscard]] std::string_view toString(audit_finding_kind kind);

/// Result of an audit.
struct audit_report
{
    /// Decisions of all readable records, ordered by time.
    std::vector<decision> decisions;
    std::vector<audit_finding> findings;
    /// Number of chains. Each incarnation of an instance writes its own.
    std::uint64_t chains = 0;
};

/// Audits `records`, given in the order of the log. `firstRetained` is the oldest offset that the log still holds. If it is greater than 1,
/// a chain that starts after number 1 is not reported, because its older records may have expired.
[[nodiscard]] audit_report audit(const std::vector<log_record> &records, log_offset firstRetained);

} // namespace wisteriashunt

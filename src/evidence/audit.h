/// Reads evidence back: checks the chains and the yield rule, and reports gaps instead of hiding them.
#pragma once

#include "evidence/evidence_chain.h"
#include "wisteriashunt/platform.h"

#include <map>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Kinds of finding.
enum class audit_finding_kind {
    unreadable_record,
    altered_record,
    missing_record,
    reordered_record,
    declared_loss,
    yield_violation,
};

/// Something that the evidence does not prove, or disproves.
struct audit_finding
{
    audit_finding_kind kind = audit_finding_kind::unreadable_record;
    log_offset offset = 0;
    std::string instance;
    std::string detail;

    auto operator<=>(const audit_finding &) const = default;
};

/// Returns the name of the kind, for example "missing_record".
[[nodiscard]] std::string_view toString(audit_finding_kind kind);

/// Result of an audit.
struct audit_report
{
    /// All readable decisions, by time.
    std::vector<decision> decisions;
    std::vector<audit_finding> findings;
    std::uint64_t chains = 0;
};

/// Audits the records. A chain that begins after its first number is reported only if `firstRetained` is 1, because older records may have expired.
[[nodiscard]] audit_report audit(const std::vector<log_record> &records, log_offset firstRetained);

} // namespace wisteriashunt

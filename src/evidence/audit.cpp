#include "evidence/audit.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// State of a chain after the batches read so far.
struct chain_state
{
    std::uint64_t nextNumber = 1;
    /// Hash of the last batch.
    std::string hash;
    /// First number of each batch.
    std::set<std::uint64_t> firstNumbers;
    bool hasBatch = false;
};

/// Instance and incarnation.
using chain_key = std::pair<std::string, std::uint64_t>;

class auditor
{
public:
    explicit auditor(log_offset firstRetained)
        : m_hasAllRecords(firstRetained <= 1)
    {
    }

    void addRecord(const log_record &record)
    {
        const auto batch = parseBatch(record.data);
        if (!batch) {
            report(audit_finding_kind::unreadable_record, record.offset, "", "the record does not parse as an evidence batch");
            return;
        }
        if (computeHash(*batch) != batch->hash) {
            report(audit_finding_kind::altered_record,
                   record.offset,
                   batch->instance,
                   absl::StrCat("the batch that starts at number ", batch->first, " does not match its hash"));
        }
        addBatch(record.offset, *batch);
    }

    audit_report finish()
    {
        m_report.chains = m_chains.size();
        std::stable_sort(m_report.decisions.begin(), m_report.decisions.end(), [](const decision &a, const decision &b) { return a.at < b.at; });
        return std::move(m_report);
    }

private:
    void report(audit_finding_kind kind, log_offset offset, const std::string &instance, const std::string &detail)
    {
        m_report.findings.push_back({.kind = kind, .offset = offset, .instance = instance, .detail = detail});
    }

    void addBatch(log_offset offset, const evidence_batch &batch)
    {
        auto &chain = m_chains[{batch.instance, batch.incarnation}];
        if (chain.firstNumbers.contains(batch.first)) {
            // A process appends a batch again if the log did not confirm the first append.
            if (batch.hash != chain.hash && batch.first >= chain.nextNumber) {
                report(audit_finding_kind::altered_record, offset, batch.instance, absl::StrCat("two different batches start at number ", batch.first));
            }
            return;
        }
        checkPosition(offset, batch, chain);
        chain.firstNumbers.insert(batch.first);
        chain.hasBatch = true;
        chain.nextNumber = std::max(chain.nextNumber, batch.first + batch.decisions.size());
        chain.hash = batch.hash;
        for (const auto &value : batch.decisions) {
            checkYield(offset, batch.instance, value);
            m_report.decisions.push_back(value);
        }
    }

    void checkPosition(log_offset offset, const evidence_batch &batch, const chain_state &chain)
    {
        const bool mayHaveExpired = !chain.hasBatch && !m_hasAllRecords;
        if (batch.lostBefore > 0) {
            report(audit_finding_kind::declared_loss,
                   offset,
                   batch.instance,
                   absl::StrCat(batch.lostBefore, " decisions were dropped while the log was unavailable"));
        }
        const std::uint64_t expected = chain.nextNumber + batch.lostBefore;
        if (batch.first < expected && chain.hasBatch) {
            report(audit_finding_kind::reordered_record,
                   offset,
                   batch.instance,
                   absl::StrCat("found number ", batch.first, " after number ", chain.nextNumber - 1));
        } else if (batch.first > expected && !mayHaveExpired) {
            report(audit_finding_kind::missing_record, offset, batch.instance, absl::StrCat("numbers ", expected, " to ", batch.first - 1, " are missing"));
        } else if (batch.previousHash != chain.hash && !mayHaveExpired) {
            report(audit_finding_kind::altered_record,
                   offset,
                   batch.instance,
                   absl::StrCat("the hash of the previous batch does not match at number ", batch.first));
        }
    }

    void checkYield(log_offset offset, const std::string &instance, const decision &value)
    {
        if (value.event != event_number::attempt_started || value.reason == "floor") {
            return;
        }
        for (int tier = 1; tier < value.tier; ++tier) {
            const auto waiting = value.waiting.at(static_cast<std::size_t>(tier - 1));
            if (waiting > 0) {
                report(audit_finding_kind::yield_violation,
                       offset,
                       instance,
                       absl::StrCat(
                           "request ", toString(value.request), " of tier ", value.tier, " started while ", waiting, " attempts of tier ", tier, " waited"));
            }
        }
    }

    /// False if records may have expired from the log.
    bool m_hasAllRecords;
    std::map<chain_key, chain_state> m_chains;
    audit_report m_report;
};

} // namespace

std::string_view toString(audit_finding_kind kind)
{
    switch (kind) {
    case audit_finding_kind::unreadable_record:
        return "unreadable_record";
    case audit_finding_kind::altered_record:
        return "altered_record";
    case audit_finding_kind::missing_record:
        return "missing_record";
    case audit_finding_kind::reordered_record:
        return "reordered_record";
    case audit_finding_kind::declared_loss:
        return "declared_loss";
    case audit_finding_kind::yield_violation:
        return "yield_violation";
    }
    return "unreadable_record";
}

audit_report audit(const std::vector<log_record> &records, log_offset firstRetained)
{
    auditor recordAuditor(firstRetained);
    for (const auto &record : records) {
        recordAuditor.addRecord(record);
    }
    return recordAuditor.finish();
}

} // namespace wisteriashunt

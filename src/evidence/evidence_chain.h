/// Numbered, hash-chained batches of decision records, and their check.
#pragma once

#include "evidence/decision.h"

#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Name of the stream in the platform's log.
constexpr const char *evidenceStream = "evidence";

/// Decisions of one process that were sealed together.
struct evidence_batch
{
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Number of the first decision; decisions of one incarnation are numbered from 1 without a gap.
    std::uint64_t first = 1;
    /// Decisions that were lost before this batch because the log was down for longer than the buffer lasts.
    std::uint64_t lostBefore = 0;
    std::string previousHash;
    std::string hash;
    std::vector<decision> decisions;

    auto operator<=>(const evidence_batch &) const = default;
};

/// Seals the decisions of one incarnation.
class evidence_chain
{
public:
    evidence_chain(std::string instance, std::uint64_t incarnation);

    /// Returns the log record of the batch, chained to the one before.
    [[nodiscard]] std::string seal(const std::vector<decision> &decisions);

    /// Notes that decisions were dropped; the next batch says how many.
    void countLost(std::uint64_t count);

private:
    std::string m_instance;
    std::uint64_t m_incarnation;
    std::uint64_t m_next = 1;
    std::uint64_t m_lost = 0;
    std::string m_hash;
};

/// Parses a record of the evidence stream; nothing if it is no batch.
[[nodiscard]] std::optional<evidence_batch> parseBatch(const std::string &record);

/// Returns the hash that the batch must carry.
[[nodiscard]] std::string computeHash(const evidence_batch &batch);

} // namespace wisteriashunt

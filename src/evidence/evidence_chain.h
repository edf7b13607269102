/// Numbered, hash-chained batches of decision records.
#pragma once

#include "evidence/decision.h"

#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Name of the stream in the platform's log.
constexpr const char *evidenceStream = "evidence";

/// Decisions of one process that are hashed and appended together.
struct evidence_batch
{
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Number of the first decision. The decisions of an incarnation are numbered from 1 without gaps.
    std::uint64_t first = 1;
    /// Number of decisions dropped before this batch, because the buffer filled up while the log was unavailable. They are numbered too.
    std::uint64_t lostBefore = 0;
    /// Hash of the previous batch; empty in the first batch of an incarnation.
    std::string previousHash;
    std::string hash;
    std::vector<decision> decisions;

    auto operator<=>(const evidence_batch &) const = default;
};

/// Builds the chain of batches of one incarnation.
class evidence_chain
{
public:
    evidence_chain(std::string instance, std::uint64_t incarnation);

    /// Returns the log record, in JSON, of a batch that holds `decisions` and continues the chain.
    [[nodiscard]] std::string seal(const std::vector<decision> &decisions);

    /// Counts decisions that were dropped. The next batch records the count.
    void countLost(std::uint64_t count);

private:
    std::string m_instance;
    std::uint64_t m_incarnation;
    std::uint64_t m_next = 1;
    std::uint64_t m_lost = 0;
    std::string m_hash;
};

/// Parses a record of the evidence stream. Returns nothing if the record is not a batch. Does not check the hash.
[[nodiscard]] std::optional<evidence_batch> parseBatch(const std::string &record);

/// Returns the SHA-256, in hexadecimal, of all fields of the batch except `hash`.
[[nodiscard]] std::string computeHash(const evidence_batch &batch);

} // namespace wisteriashunt

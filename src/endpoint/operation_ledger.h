/// Records the non-idempotent attempts of one incarnation of an endpoint process, so that their outcome can be queried after a connection loss.
#pragma once

#include "wisteriashunt/messages.h"

#include <deque>
#include <map>
#include <set>

namespace wisteriashunt
{

/// Settings of an operation_ledger.
struct ledger_options
{
    /// Maximum number of attempts that are kept. Running ones are never evicted and may exceed it.
    std::size_t capacity = 200000;
    /// Maximum bytes of recorded answer bodies that are kept.
    std::size_t answerByteCapacity = 16U << 20U;
};

/// Ledger of non-idempotent attempts of one incarnation. An attempt that was reported as never started is barred from starting later.
class operation_ledger
{
public:
    explicit operation_ledger(const ledger_options &options);

    /// Records that the attempt starts. Returns false if it is barred, started before or may have been evicted.
    [[nodiscard]] bool tryStart(const attempt_id &id);

    /// Records the outcome of a started attempt.
    void finish(const attempt_id &id, const finished &outcome);

    /// Records that a started attempt failed and that its effect is unknown.
    void fail(const attempt_id &id);

    /// Records that a started attempt provably never reached the back end.
    void markNotRun(const attempt_id &id);

    /// Returns the fate of the attempt, and bars the attempt if it never started.
    [[nodiscard]] fate_answer resolve(const attempt_id &id);

    [[nodiscard]] bool isBarred(const attempt_id &id) const;
    [[nodiscard]] std::size_t size() const;

private:
    struct entry
    {
        fate state = fate::running;
        finished outcome;
    };
    void insert(const attempt_id &id, const entry &value);
    void evict();
    /// Returns true if the attempt may have been evicted, in which case it can't be proved that it never started.
    [[nodiscard]] bool mayHaveBeenEvicted(const attempt_id &id) const;

    ledger_options m_options;
    std::map<attempt_id, entry> m_entries;
    std::deque<attempt_id> m_order;
    std::map<std::uint64_t, std::uint64_t> m_evictedUpTo;
    std::size_t m_answerBytes = 0;
};

} // namespace wisteriashunt

/// Remembers which attempts started here, so that the outcome of a lost one is answered from a record.
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
    /// Most attempts that are remembered.
    std::size_t capacity = 200000;
    /// Most bytes of recorded answers that are remembered.
    std::size_t answerByteCapacity = 16U << 20U;
};

/// Ledger of non-idempotent attempts of one incarnation. An attempt that was told "never started" is barred from starting for good.
class operation_ledger
{
public:
    explicit operation_ledger(const ledger_options &options);

    /// Returns false if the attempt was barred or has started before; otherwise records that it starts now.
    [[nodiscard]] bool tryStart(const attempt_id &id);

    /// Records the outcome of a started attempt.
    void finish(const attempt_id &id, const finished &outcome);

    /// Records that a started attempt broke off, so that its effect is unknown.
    void fail(const attempt_id &id);

    /// Records that a started attempt is proven not to have reached the back end.
    void markNotRun(const attempt_id &id);

    /// Tells the fate of the attempt and bars it when it never started.
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
    /// Attempts up to this one may have been forgotten, so "never started" can no longer be proved for them.
    [[nodiscard]] bool mayHaveBeenEvicted(const attempt_id &id) const;

    ledger_options m_options;
    std::map<attempt_id, entry> m_entries;
    std::deque<attempt_id> m_order;
    std::map<std::uint64_t, std::uint64_t> m_evictedUpTo;
    std::size_t m_answerBytes = 0;
};

} // namespace wisteriashunt

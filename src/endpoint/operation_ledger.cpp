#include "endpoint/operation_ledger.h"

#include <algorithm>

namespace wisteriashunt
{

operation_ledger::operation_ledger(const ledger_options &options)
    : m_options(options)
{
}

bool operation_ledger::tryStart(const attempt_id &id)
{
    if (m_entries.contains(id) || mayHaveBeenEvicted(id)) {
        return false;
    }
    insert(id, entry{});
    return true;
}

void operation_ledger::finish(const attempt_id &id, const finished &outcome)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    found->second = {.state = fate::ended, .outcome = outcome};
    m_answerBytes += outcome.body.size();
    evict();
}

void operation_ledger::fail(const attempt_id &id)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end()) {
        found->second.state = fate::failed;
    }
}

void operation_ledger::markNotRun(const attempt_id &id)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end()) {
        found->second.state = fate::never_started;
    }
}

fate_answer operation_ledger::resolve(const attempt_id &id)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end()) {
        return {.id = id, .state = static_cast<std::uint8_t>(found->second.state), .outcome = found->second.outcome};
    }
    if (mayHaveBeenEvicted(id)) {
        return {.id = id, .state = static_cast<std::uint8_t>(fate::unknown), .outcome = {}};
    }
    insert(id, entry{.state = fate::never_started, .outcome = {}});
    return {.id = id, .state = static_cast<std::uint8_t>(fate::never_started), .outcome = {}};
}

bool operation_ledger::isBarred(const attempt_id &id) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.state == fate::never_started;
}

std::size_t operation_ledger::size() const
{
    return m_entries.size();
}

void operation_ledger::insert(const attempt_id &id, const entry &value)
{
    m_entries.emplace(id, value);
    m_order.push_back(id);
    evict();
}

void operation_ledger::evict()
{
    // Running attempts are never evicted; they move to the back of the eviction order.
    std::size_t examined = 0;
    const std::size_t present = m_order.size();
    while (examined < present && (m_entries.size() > m_options.capacity || m_answerBytes > m_options.answerByteCapacity)) {
        ++examined;
        const attempt_id oldest = m_order.front();
        m_order.pop_front();
        const auto found = m_entries.find(oldest);
        if (found->second.state == fate::running) {
            m_order.push_back(oldest);
            continue;
        }
        m_answerBytes -= found->second.outcome.body.size();
        m_entries.erase(found);
        auto &evictedUpTo = m_evictedUpTo[oldest.request.entry];
        evictedUpTo = std::max(evictedUpTo, oldest.request.sequence);
    }
}

bool operation_ledger::mayHaveBeenEvicted(const attempt_id &id) const
{
    const auto found = m_evictedUpTo.find(id.request.entry);
    return found != m_evictedUpTo.end() && id.request.sequence <= found->second;
}

} // namespace wisteriashunt

#include "gateway/caller_limit.h"

#include "dispatch/closing_order.h"

#include <unistd.h>
#include <utility>

namespace wisteriashunt
{

caller_limit::caller_limit(std::size_t most, closed_hook onClosed)
    : m_most(most)
    , m_onClosed(std::move(onClosed))
{
}

bool caller_limit::admit(const caller_set &callers, int descriptor)
{
    if (callers.all().size() < m_most) {
        return true;
    }
    if (const auto chosen = next(callers)) {
        m_onClosed(chosen->isIdle() ? "idle" : "partial");
        chosen->closeNow();
        return true;
    }
    ::close(descriptor);
    m_onClosed("new");
    return false;
}

std::shared_ptr<caller_connection> caller_limit::next(const caller_set &callers)
{
    for (int choices = 0; choices < 2; ++choices) {
        while (!m_candidates.empty()) {
            const auto [weak, lastActivity] = m_candidates.back();
            m_candidates.pop_back();
            const auto caller = weak.lock();
            const bool isUnchanged = caller != nullptr && caller->lastActivity() == lastActivity && callers.all().count(caller.get()) > 0;
            if (isUnchanged && (caller->isIdle() || caller->hasPartialRequest())) {
                return caller;
            }
        }
        chooseCandidates(callers);
    }
    return nullptr;
}

void caller_limit::chooseCandidates(const caller_set &callers)
{
    constexpr std::size_t shareDivisor = 32;
    std::vector<std::shared_ptr<caller_connection>> all;
    std::vector<open_connection> connections;
    for (const auto &[address, caller] : callers.all()) {
        all.push_back(caller);
        connections.push_back({.isAnswering = !caller->isIdle() && !caller->hasPartialRequest(),
                               .hasPartialRequest = caller->hasPartialRequest(),
                               .unsentBytes = caller->pendingBytes(),
                               .lastActivity = caller->lastActivity()});
    }
    const auto order = closingOrder(connections, all.size() / shareDivisor + 1);
    for (auto place = order.rbegin(); place != order.rend(); ++place) {
        m_candidates.push_back({.caller = all[*place], .lastActivity = all[*place]->lastActivity()});
    }
}

} // namespace wisteriashunt

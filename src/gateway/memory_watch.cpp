#include "gateway/memory_watch.h"

#include "dispatch/memory_relief.h"
#include "gateway/refusal.h"

#include <algorithm>
#include <limits>
#include <malloc.h>
#include <memory>
#include <vector>

namespace wisteriashunt
{

namespace
{

/// Returns the rank of a partial request. One without a route or a known API key is the least urgent.
int rankOfPartialRequest(const gateway_context &context, const caller_connection &caller)
{
    constexpr int leastUrgent = std::numeric_limits<int>::max();
    const auto *request = caller.partialRequest();
    const auto host = request == nullptr ? std::nullopt : findHeader(request->headers, "host");
    if (!host || context.table == nullptr) {
        return leastUrgent;
    }
    const auto *matched = context.table->find(*host, request->target);
    if (matched == nullptr) {
        return leastUrgent;
    }
    if (matched->isPublic || context.table->declarations().workspaces.empty()) {
        return context.table->rankOf(*matched, nullptr);
    }
    const auto *workspace = context.table->findWorkspace(context.dialect.readRequest(request->headers).apiKey);
    return workspace == nullptr ? leastUrgent : context.table->rankOf(*matched, workspace);
}

/// Gives the pages that messages no longer take back to the system, which the allocator keeps otherwise.
void releaseFreedPages(gateway_context &context)
{
    constexpr std::size_t leastBytes = 4 * 1024 * 1024;
    const auto taken = context.buffers->bytes();
    context.mostBufferBytes = std::max(context.mostBufferBytes, taken);
    if (context.mostBufferBytes - taken >= leastBytes) {
        context.mostBufferBytes = taken;
        malloc_trim(0);
    }
}

} // namespace

void configureAllocator()
{
    // Left alone, the allocator raises this threshold and then keeps long bodies among small objects, where their pages are not returned.
    constexpr int ownMappingBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, ownMappingBytes);
}

void relieveMemory(gateway_context &context, const caller_set &callers)
{
    // Each look goes through all connections. If there was nothing to give up, requests that run take the memory, and will for a while.
    constexpr std::chrono::milliseconds pause{20};
    const bool hadNothing = context.nothingToFreeAt && context.loop.now() - *context.nothingToFreeAt < pause;
    if (!context.buffers->isOver() || hadNothing) {
        return;
    }
    std::vector<std::shared_ptr<caller_connection>> connections;
    std::vector<caller_holdings> holders;
    for (const auto &[address, caller] : callers.all()) {
        connections.push_back(caller);
        holders.push_back(caller->holdings());
    }
    const auto taken = context.buffers->bytes();
    const auto steps = decideOnRelief(
        {.limitBytes = context.buffers->limitBytes()}, taken, holders, [&](std::size_t holder) { return rankOfPartialRequest(context, *connections[holder]); });
    context.nothingToFreeAt = steps.empty() ? std::optional(context.loop.now()) : std::nullopt;
    std::size_t refused = 0;
    for (const auto &step : steps) {
        auto &caller = *connections[step.holder];
        if (step.kind == relief_kind::drop_pipelined_requests) {
            context.counters.countLabelled("requests_total", "class", "-", "pipelined_dropped");
            caller.dropPipelinedRequests();
            continue;
        }
        ++refused;
        context.counters.countLabelled("requests_total", "class", "-", "partial_refused");
        const auto refusal = makeRefusal(context.dialect, error_kind::overloaded, memoryRetryAfter);
        caller.refusePartialRequest(refusal.head, refusal.body);
    }
    context.log.write(event_number::memory_relieved,
                      {{"taken", std::to_string(taken)},
                       {"limit", std::to_string(context.buffers->limitBytes())},
                       {"left", std::to_string(context.buffers->bytes())},
                       {"refused", std::to_string(refused)},
                       {"pipelined", std::to_string(steps.size() - refused)},
                       {"callers", std::to_string(connections.size())}});
    if (context.buffers->isOver()) {
        watchMemory(context, callers);
    }
}

void watchMemory(gateway_context &context, const caller_set &callers)
{
    releaseFreedPages(context);
    std::vector<std::shared_ptr<caller_connection>> unread;
    std::vector<std::size_t> unreadBytes;
    context.unreadBytes = 0;
    for (const auto &[address, caller] : callers.all()) {
        caller->updateCharge();
        if (const auto bytes = caller->pendingBytes(); bytes > 0) {
            unread.push_back(caller);
            unreadBytes.push_back(bytes);
            context.unreadBytes += bytes;
        }
    }
    const auto decision = decideOnMemory(context.memory, context.running->bytes(), unreadBytes);
    context.isMemoryShort = decision.isShort;
    for (const auto dropped : decision.dropped) {
        context.counters.countLabelled("answers_dropped_total", "reason", "memory", "unread");
        unread[dropped]->discard();
    }
}

} // namespace wisteriashunt

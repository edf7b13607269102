/// Applies the decisions of dispatch/memory_guard.h and dispatch/memory_relief.h to the callers of an entry.
#pragma once

#include "gateway/gateway_context.h"
#include "http/caller_connection.h"

namespace wisteriashunt
{

/// Measures what the buffers of an entry take, and frees memory if it is too much. To be called several times a second.
void watchMemory(gateway_context &context, const caller_set &callers);

/// Sets the allocator up so that what large messages took goes back to the system.
void configureAllocator();

/// Frees memory if messages take more than their ledger's limit. To be called as soon as they do.
void relieveMemory(gateway_context &context, const caller_set &callers);

} // namespace wisteriashunt

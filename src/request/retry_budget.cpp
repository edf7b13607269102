#include "request/retry_budget.h"

#include <algorithm>

namespace wisteriashunt
{

retry_budget::retry_budget(const retry_budget_options &options)
    : m_options(options)
    , m_available(options.capacity)
{
}

void retry_budget::onSuccess()
{
    m_available = std::min(m_options.capacity, m_available + m_options.retriesPerSuccess);
}

bool retry_budget::trySpend()
{
    if (m_available < 1) {
        return false;
    }
    m_available -= 1;
    return true;
}

} // namespace wisteriashunt

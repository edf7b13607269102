/// Limits retries to a share of recent successes, so that retries cannot amplify an overload. Used by entry_core in wisteriashuntd;
/// wisteriashunt-entry limits retries to a share of the requests in a window, see dispatch/retry_allowance.h.
#pragma once

namespace wisteriashunt
{

/// Settings of a retry_budget.
struct retry_budget_options
{
    /// Retries that each success adds to the budget.
    double retriesPerSuccess = 0.1;
    /// Upper limit of the budget, in retries. The budget starts full.
    double capacity = 20;
};

/// Token bucket that successes fill and retries drain.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_options &options);

    void onSuccess();

    /// Takes one retry from the budget. Returns false if less than one is left.
    [[nodiscard]] bool trySpend();

private:
    retry_budget_options m_options;
    double m_available;
};

} // namespace wisteriashunt

/// Bounds retries to a share of recent successes, so that retries cannot multiply an overload.
#pragma once

namespace wisteriashunt
{

/// Settings of a retry_budget.
struct retry_budget_options
{
    /// Retries that each success pays for.
    double retriesPerSuccess = 0.1;
    /// Most retries that can be saved up.
    double capacity = 20;
};

/// Token bucket that successes fill and retries empty.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_options &options);

    void onSuccess();

    /// Takes one retry from the budget. Returns false when the budget is spent.
    [[nodiscard]] bool trySpend();

private:
    retry_budget_options m_options;
    double m_available;
};

} // namespace wisteriashunt

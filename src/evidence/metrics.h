/// Counters and summaries of decisions, served in the Prometheus text format.
#pragma once

#include "evidence/decision.h"

#include <absl/synchronization/mutex.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace wisteriashunt
{

/// Thread-safe, because values are added and rendered on different threads.
class metrics
{
public:
    /// Counts the decision's event. A start also adds its wait to the summary `wait_seconds`.
    void observe(const decision &value);

    /// Counts an event of a request class.
    void count(event_number event, const std::string &className);

    /// Counts under a label whose values are not known in advance, for example the name of an endpoint. Because endpoints come and go,
    /// the number of series is limited; beyond the limit, the count goes to a series with the label value "other".
    void countLabelled(
        const std::string &counterName, const std::string &labelName, const std::string &labelValue, const std::string &outcome, std::uint64_t amount = 1);

    /// Adds a duration to the summary of that name, for example "first_byte_seconds".
    void observeSeconds(const std::string &summaryName, const std::string &className, double seconds);

    /// Adds a gauge. `render` calls `read` while it holds the lock.
    void addGauge(const std::string &name, std::function<double()> read);

    /// Returns all values in the Prometheus text format.
    [[nodiscard]] std::string render() const;

private:
    using summary = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::extended_p_square_quantile>>;

    mutable absl::Mutex m_mutex;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_events ABSL_GUARDED_BY(m_mutex);
    /// By counter name and rendered labels.
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_labelled ABSL_GUARDED_BY(m_mutex);
    /// By summary name and class.
    std::map<std::pair<std::string, std::string>, summary> m_summaries ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::function<double()>> m_gauges ABSL_GUARDED_BY(m_mutex);
};

} // namespace wisteriashunt

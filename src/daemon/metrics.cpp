#include "daemon/metrics.h"

#include <array>
#include <sstream>

namespace wisteriashunt
{

namespace
{

namespace accumulators = boost::accumulators;

constexpr std::array quantiles{0.5, 0.95, 0.99};

} // namespace

void metrics::observe(const decision &value)
{
    const absl::MutexLock lock(&m_mutex);
    ++m_events[{std::string(toString(value.event)), value.className}];
    if (value.event == event_number::attempt_started) {
        const auto position = m_waits.try_emplace(value.className, accumulators::extended_p_square_probabilities = quantiles).first;
        position->second(toSeconds(value.at - value.queuedAt));
    }
}

void metrics::addGauge(const std::string &name, std::function<double()> read)
{
    const absl::MutexLock lock(&m_mutex);
    m_gauges[name] = std::move(read);
}

std::string metrics::render() const
{
    const absl::MutexLock lock(&m_mutex);
    std::ostringstream page;
    page << "# TYPE wisteriashunt_events_total counter\n";
    for (const auto &[key, count] : m_events) {
        page << "wisteriashunt_events_total{event=\"" << key.first << "\",class=\"" << key.second << "\"} " << count << '\n';
    }
    page << "# TYPE wisteriashunt_wait_seconds summary\n";
    for (const auto &[className, waits] : m_waits) {
        for (const double quantile : quantiles) {
            page << "wisteriashunt_wait_seconds{class=\"" << className << "\",quantile=\"" << quantile << "\"} "
                 << accumulators::quantile(waits, accumulators::quantile_probability = quantile) << '\n';
        }
        page << "wisteriashunt_wait_seconds_sum{class=\"" << className << "\"} " << accumulators::sum(waits) << '\n';
        page << "wisteriashunt_wait_seconds_count{class=\"" << className << "\"} " << accumulators::count(waits) << '\n';
    }
    for (const auto &[name, read] : m_gauges) {
        page << "# TYPE wisteriashunt_" << name << " gauge\nwisteriashunt_" << name << ' ' << read() << '\n';
    }
    return page.str();
}

} // namespace wisteriashunt

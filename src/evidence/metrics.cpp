#include "evidence/metrics.h"

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
    count(value.event, value.className);
    if (value.event == event_number::attempt_started) {
        observeSeconds("wait_seconds", value.className, toSeconds(value.at - value.queuedAt));
    }
}

void metrics::count(event_number event, const std::string &className)
{
    const absl::MutexLock lock(&m_mutex);
    ++m_events[{std::string(toString(event)), className}];
}

void metrics::countLabelled(const std::string &counterName, const std::string &labelName, const std::string &label, const std::string &outcome)
{
    constexpr std::size_t mostSeries = 2000;
    const auto key = [&](const std::string &value) { return std::pair(counterName, labelName + "=\"" + value + "\",outcome=\"" + outcome + '"'); };
    const absl::MutexLock lock(&m_mutex);
    auto own = key(label);
    const bool isKept = m_labelled.size() < mostSeries || m_labelled.contains(own);
    ++m_labelled[isKept ? std::move(own) : key("other")];
}

void metrics::observeSeconds(const std::string &summaryName, const std::string &className, double seconds)
{
    const absl::MutexLock lock(&m_mutex);
    const auto position = m_summaries.try_emplace({summaryName, className}, accumulators::extended_p_square_probabilities = quantiles).first;
    position->second(seconds);
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
    std::string_view typedName;
    for (const auto &[key, count] : m_labelled) {
        if (key.first != typedName) {
            page << "# TYPE wisteriashunt_" << key.first << " counter\n";
            typedName = key.first;
        }
        page << "wisteriashunt_" << key.first << '{' << key.second << "} " << count << '\n';
    }
    for (const auto &[key, values] : m_summaries) {
        const auto &[name, className] = key;
        if (name != typedName) {
            page << "# TYPE wisteriashunt_" << name << " summary\n";
            typedName = name;
        }
        for (const double quantile : quantiles) {
            page << "wisteriashunt_" << name << "{class=\"" << className << "\",quantile=\"" << quantile << "\"} "
                 << accumulators::quantile(values, accumulators::quantile_probability = quantile) << '\n';
        }
        page << "wisteriashunt_" << name << "_sum{class=\"" << className << "\"} " << accumulators::sum(values) << '\n';
        page << "wisteriashunt_" << name << "_count{class=\"" << className << "\"} " << accumulators::count(values) << '\n';
    }
    for (const auto &[name, read] : m_gauges) {
        page << "# TYPE wisteriashunt_" << name << " gauge\nwisteriashunt_" << name << ' ' << read() << '\n';
    }
    return page.str();
}

} // namespace wisteriashunt

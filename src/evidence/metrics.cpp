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

void metrics::countLabelled(
    const std::string &counterName, const std::string &labelName, const std::string &labelValue, const std::string &outcome, std::uint64_t amount)
{
    constexpr std::size_t maxLabelledSeries = 2000;
    const auto key = [&](const std::string &value) { return std::pair(counterName, labelName + "=\"" + value + "\",outcome=\"" + outcome + '"'); };
    const absl::MutexLock lock(&m_mutex);
    auto ownKey = key(labelValue);
    const bool hasOwnSeries = m_labelled.size() < maxLabelledSeries || m_labelled.contains(ownKey);
    m_labelled[hasOwnSeries ? std::move(ownKey) : key("other")] += amount;
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
    std::ostringstream text;
    text << "# TYPE wisteriashunt_events_total counter\n";
    for (const auto &[key, count] : m_events) {
        text << "wisteriashunt_events_total{event=\"" << key.first << "\",class=\"" << key.second << "\"} " << count << '\n';
    }
    std::string_view typedName;
    for (const auto &[key, count] : m_labelled) {
        if (key.first != typedName) {
            text << "# TYPE wisteriashunt_" << key.first << " counter\n";
            typedName = key.first;
        }
        text << "wisteriashunt_" << key.first << '{' << key.second << "} " << count << '\n';
    }
    for (const auto &[key, values] : m_summaries) {
        const auto &[name, className] = key;
        if (name != typedName) {
            text << "# TYPE wisteriashunt_" << name << " summary\n";
            typedName = name;
        }
        for (const double quantile : quantiles) {
            text << "wisteriashunt_" << name << "{class=\"" << className << "\",quantile=\"" << quantile << "\"} "
                 << accumulators::quantile(values, accumulators::quantile_probability = quantile) << '\n';
        }
        text << "wisteriashunt_" << name << "_sum{class=\"" << className << "\"} " << accumulators::sum(values) << '\n';
        text << "wisteriashunt_" << name << "_count{class=\"" << className << "\"} " << accumulators::count(values) << '\n';
    }
    for (const auto &[name, read] : m_gauges) {
        text << "# TYPE wisteriashunt_" << name << " gauge\nwisteriashunt_" << name << ' ' << read() << '\n';
    }
    return text.str();
}

} // namespace wisteriashunt

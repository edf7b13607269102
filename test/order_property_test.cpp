// Checks tier order and floors for random classes, floors and arrivals against a simple model of the waiting work.
#include "endpoint/endpoint_core.h"

#include "support.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::makeAttempt;
using testing::makeClass;
using testing::makeState;

constexpr int classCount = 4;

std::string className(int index)
{
    return "class-" + std::to_string(index);
}

/// Drives an endpoint_core, models the waiting work and counts violations of the tier order.
class order_checker
{
public:
    order_checker(const std::vector<int> &tiers, const std::vector<double> &floors)
        : m_tiers(tiers)
    {
        std::vector<traffic_class> classes;
        for (int i = 0; i < classCount; ++i) {
            auto declared = makeClass(className(i), tiers[static_cast<std::size_t>(i)], floors[static_cast<std::size_t>(i)]);
            declared.firstToken = std::chrono::hours(1);
            classes.push_back(declared);
        }
        handle(configuration_changed{makeState(classes)});
    }

    void arrive(int classIndex, int workspaceIndex)
    {
        const std::uint64_t sequence = ++m_sequence;
        m_waiting[sequence] = classIndex;
        handle(
            peer_message{1, reserve{.id = makeAttempt(sequence), .className = className(classIndex), .workspaceName = "w" + std::to_string(workspaceIndex)}});
    }

    void withdrawOne(std::uint64_t choice)
    {
        if (!m_waiting.empty()) {
            const auto position = std::next(m_waiting.begin(), static_cast<std::ptrdiff_t>(choice % m_waiting.size()));
            const std::uint64_t sequence = position->first;
            m_waiting.erase(position);
            handle(peer_message{1, withdraw{.id = makeAttempt(sequence), .reason = 1}});
        }
    }

    void finishOne(std::uint64_t choice)
    {
        if (!m_running.empty()) {
            const auto position = std::next(m_running.begin(), static_cast<std::ptrdiff_t>(choice % m_running.size()));
            const std::uint64_t sequence = *position;
            m_running.erase(position);
            handle(upstream_finished{finished{.id = makeAttempt(sequence), .httpStatus = 200}});
        }
    }

    [[nodiscard]] int served(int classIndex) const
    {
        const auto found = m_served.find(classIndex);
        return found == m_served.end() ? 0 : found->second;
    }

    [[nodiscard]] int violations() const
    {
        return m_violations;
    }

    [[nodiscard]] std::size_t runningCount() const
    {
        return m_running.size();
    }

private:
    void handle(const endpoint_event &event)
    {
        m_now += std::chrono::milliseconds(1);
        for (const auto &action : m_core.handle(m_now, event)) {
            if (const auto *offerDecision = std::get_if<decision>(&action); offerDecision != nullptr && offerDecision->event == event_number::attempt_offered) {
                onOffered(*offerDecision);
            }
        }
        for (const auto sequence : std::exchange(m_offered, {})) {
            m_running.insert(sequence);
            handle(peer_message{1, start{.id = makeAttempt(sequence), .endpointIncarnation = 1}});
        }
    }

    void onOffered(const decision &offerDecision)
    {
        const std::uint64_t sequence = offerDecision.request.sequence;
        const int tier = m_tiers[static_cast<std::size_t>(m_waiting.at(sequence))];
        ++m_served[m_waiting.at(sequence)];
        m_waiting.erase(sequence);
        m_offered.push_back(sequence);
        for (const auto &[other, classIndex] : m_waiting) {
            m_violations += offerDecision.reason != "floor" && m_tiers[static_cast<std::size_t>(classIndex)] < tier ? 1 : 0;
        }
    }

    std::vector<int> m_tiers;
    endpoint_core m_core{endpoint_core_options{.endpointName = "e1", .limiter = {.initial = 4, .minimum = 4, .maximum = 4}}};
    std::map<std::uint64_t, int> m_waiting;
    std::set<std::uint64_t> m_running;
    std::vector<std::uint64_t> m_offered;
    std::map<int, int> m_served;
    int m_violations = 0;
    std::uint64_t m_sequence = 0;
    time_point m_now = testing::startOfTime;
};

RC_GTEST_PROP(order_property, NoLowerTierStartsAheadExceptByItsFloor, ())
{
    const auto tiers = *rc::gen::container<std::vector<int>>(classCount, rc::gen::inRange(1, tierCount + 1));
    const auto percents = *rc::gen::container<std::vector<int>>(classCount, rc::gen::inRange(0, 12));
    order_checker checker(tiers, {percents[0] / 100.0, percents[1] / 100.0, percents[2] / 100.0, percents[3] / 100.0});
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 1000)));
    for (const auto &[kind, number] : steps) {
        if (kind < 6) {
            checker.arrive(number % classCount, number % 3);
        } else if (kind < 9) {
            checker.finishOne(static_cast<std::uint64_t>(number));
        } else {
            checker.withdrawOne(static_cast<std::uint64_t>(number));
        }
    }
    RC_ASSERT(checker.violations() == 0);
}

RC_GTEST_PROP(order_property, EveryBackloggedClassGetsItsFloor, ())
{
    const auto tiers = *rc::gen::container<std::vector<int>>(classCount, rc::gen::inRange(1, tierCount + 1));
    const auto percents = *rc::gen::container<std::vector<int>>(classCount, rc::gen::inRange(1, 12));
    order_checker checker(tiers, {percents[0] / 100.0, percents[1] / 100.0, percents[2] / 100.0, percents[3] / 100.0});
    constexpr int rounds = 1500;
    for (int i = 0; i < classCount * 4; ++i) {
        checker.arrive(i % classCount, i % 2);
    }
    for (int i = 0; i < rounds; ++i) {
        for (int c = 0; c < classCount; ++c) {
            checker.arrive(c, i % 2);
        }
        checker.finishOne(static_cast<std::uint64_t>(i));
    }
    // Up to two mean answers of floor credit may be outstanding at the end.
    constexpr int slack = 6;
    for (int c = 0; c < classCount; ++c) {
        RC_ASSERT(checker.served(c) + slack >= rounds * percents[static_cast<std::size_t>(c)] / 100);
    }
}

} // namespace
} // namespace wisteriashunt

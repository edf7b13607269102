// Plays random crashes, answers, trials and messages of entries against what must hold whatever their order.
#include "dispatch/request_quarantine.h"

#include <rapidcheck.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace wisteriashunt
{
namespace
{

using std::chrono::milliseconds;

constexpr std::size_t entryCount = 3;
constexpr std::uint64_t requestCount = 4;
const std::string service = "desk";

trait_set traitsOf(std::uint64_t request)
{
    return {{trait_kind::whole_request, request}};
}

/// Numbers of the bits that are set.
std::set<std::uint64_t> membersOf(unsigned mask)
{
    std::set<std::uint64_t> members;
    for (std::uint64_t i = 0; i < requestCount; ++i) {
        if ((mask >> i & 1U) != 0) {
            members.insert(i);
        }
    }
    return members;
}

class quarantine_play
{
public:
    quarantine_play()
    {
        for (std::size_t i = 0; i < entryCount; ++i) {
            m_entries.at(i) = request_quarantine({.entryKey = i});
            m_entries.at(i).noteEntries(entryCount);
        }
    }

    void wait(int time)
    {
        m_now += milliseconds(time);
    }

    /// An endpoint crashes under requests of one entry.
    void crash(std::size_t entry, const std::set<std::uint64_t> &requests)
    {
        crash_report seen{.service = service, .endpoint = ++m_endpoints};
        for (const auto request : requests) {
            seen.suspects.push_back({.attempt = ++m_attempts, .traits = traitsOf(request)});
        }
        m_entries.at(entry).onCrash(seen, m_now);
    }

    void answer(std::size_t entry, std::uint64_t request)
    {
        m_entries.at(entry).onAnswered(service, traitsOf(request), m_now);
        RC_ASSERT(m_entries.at(entry).check(service, traitsOf(request), m_now) == quarantine_verdict::free);
    }

    /// Sends the request if its trial is due.
    void attempt(std::size_t entry, std::uint64_t request)
    {
        auto &quarantine = m_entries.at(entry);
        if (quarantine.check(service, traitsOf(request), m_now) == quarantine_verdict::trial) {
            quarantine.onTrial(service, traitsOf(request), m_now);
            RC_ASSERT(quarantine.check(service, traitsOf(request), m_now) == quarantine_verdict::held);
        }
    }

    /// Passes a message from one entry to the others, except to those that miss it.
    void tell(std::size_t from, const std::set<std::uint64_t> &missing)
    {
        const auto digest = m_entries.at(from).digest(m_now);
        m_now += milliseconds(1);
        for (std::size_t to = 0; to < entryCount; ++to) {
            if (to != from && !missing.contains(to)) {
                m_entries.at(to).onPeerDigest(digest, m_now);
            }
        }
    }

    /// Every hold is of whole requests and of three crashes or more.
    void checkHolds() const
    {
        for (const auto &entry : m_entries) {
            for (const auto &held : entry.held(m_now)) {
                RC_ASSERT(kindOf(held.traits) == trait_kind::whole_request);
                RC_ASSERT(held.crashes >= 3);
            }
        }
    }

    /// Once all messages arrive, an answer anywhere has freed the request everywhere.
    void settle(std::uint64_t answered, std::size_t entry)
    {
        m_now += milliseconds(1);
        answer(entry, answered);
        for (int round = 0; round < 6; ++round) {
            m_now += request_quarantine_options{}.heldPeriod;
            for (std::size_t from = 0; from < entryCount; ++from) {
                tell(from, {});
            }
        }
        for (std::size_t i = 0; i < entryCount; ++i) {
            RC_ASSERT(m_entries.at(i).check(service, traitsOf(answered), m_now) == quarantine_verdict::free);
        }
    }

private:
    std::array<request_quarantine, entryCount> m_entries;
    time_point m_now{std::chrono::seconds(1000)};
    std::uint64_t m_endpoints = 0;
    std::uint64_t m_attempts = 0;
};

RC_GTEST_PROP(request_quarantine_property_test, AnAnswerAnywhereFreesARequestEverywhere, ())
{
    constexpr int stepKinds = 5;
    quarantine_play play;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, std::uint64_t, unsigned, int>>>(rc::gen::tuple(
        rc::gen::inRange(0, stepKinds), rc::gen::inRange<std::uint64_t>(0, entryCount), rc::gen::inRange(0U, 1U << requestCount), rc::gen::inRange(0, 3000)));
    for (const auto &[kind, entry, mask, time] : steps) {
        const auto requests = membersOf(mask);
        const auto request = requests.empty() ? 0 : *requests.begin();
        play.wait(time / 10);
        switch (kind) {
        case 0:
        case 1:
            play.crash(entry, requests);
            break;
        case 2:
            play.answer(entry, request);
            break;
        case 3:
            play.wait(time);
            play.attempt(entry, request);
            break;
        default:
            play.tell(entry, requests);
        }
        play.checkHolds();
    }
    const auto answered = *rc::gen::inRange<std::uint64_t>(0, requestCount);
    play.settle(answered, *rc::gen::inRange<std::size_t>(0, entryCount));
}

} // namespace
} // namespace wisteriashunt

// Plays load on many entries that learn of each other's requests with a delay, and checks what each engine gets.
#include "dispatch/placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>

namespace wisteriashunt
{
namespace
{

constexpr time_point start{std::chrono::seconds(1000)};
constexpr int entryCount = 28;
constexpr int engineCount = 50;
constexpr std::int64_t promptTokens = 17000;

/// Entries of one fleet. Their planners share the roster and learn of each other by digests alone.
class placement_fleet_test : public ::testing::Test
{
protected:
    placement_fleet_test()
    {
        for (int i = 0; i < engineCount; ++i) {
            m_roster.apply({.id = engineId(i), .service = "model", .address = {.ip = 1, .port = 80}, .availabilityZone = "z", .slots = 64, .sequence = 1});
        }
        for (int i = 0; i < entryCount; ++i) {
            m_entries.push_back(std::make_unique<placement_planner>(m_roster, "z", placement_options{}));
        }
    }

    static std::string engineId(int engine)
    {
        return "e" + std::to_string(engine);
    }

    static placement_request promptOfSession(std::uint64_t session, duration target)
    {
        return {.service = "model",
                .prompt = {{1000 + session, promptTokens - 3000}, {50000 + session, 3000}},
                .promptTokens = promptTokens,
                .hasPrompt = true,
                .firstByteTarget = target,
                .maxFirstByteWait = std::chrono::seconds(4)};
    }

    void exchangeDigests(time_point now)
    {
        std::vector<load_digest> digests;
        for (const auto &entry : m_entries) {
            digests.push_back(entry->digest(now));
        }
        for (std::size_t from = 0; from < m_entries.size(); ++from) {
            for (std::size_t to = 0; to < m_entries.size(); ++to) {
                if (from != to) {
                    m_entries[to]->onPeerDigest(engineId(static_cast<int>(from)), digests[from], now);
                }
            }
        }
    }

    /// Loads every engine but the idle ones with requests of the first entry.
    void loadAllEnginesBut(int idleEngines)
    {
        std::map<std::string, endpoint_load> busy;
        for (int i = idleEngines; i < engineCount; ++i) {
            busy[engineId(i)] = {.waiting = 2, .waitingTokens = {0, 30000}, .longPrompts = 2};
        }
        for (const auto &entry : m_entries) {
            entry->onPeerDigest("other", {.endpoints = busy}, start);
        }
    }

    endpoint_roster m_roster;
    std::vector<std::unique_ptr<placement_planner>> m_entries;
};

TEST_F(placement_fleet_test, EntriesThatSeeOneIdleEngineDoNotAllSendToIt)
{
    exchangeDigests(start);
    loadAllEnginesBut(1);
    int sentToIdle = 0;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const auto decision = m_entries[i]->place(promptOfSession(i, std::chrono::milliseconds(1500)), start);
        sentToIdle += decision.refusal == placement_refusal::none && decision.chosen.endpoint->record.id == engineId(0) ? 1 : 0;
    }
    // 17,000 tokens take 378 ms, so a fifth prompt would begin after the target of 1.5 s.
    EXPECT_LE(sentToIdle, 4) << "of " << entryCount << " entries that placed a prompt before they learnt of each other's";
}

TEST_F(placement_fleet_test, PromptsOfOneMomentSpreadOverIdleEngines)
{
    exchangeDigests(start);
    std::map<std::string, int> prompts;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const auto decision = m_entries[i]->place(promptOfSession(i, std::chrono::milliseconds(1500)), start);
        ASSERT_EQ(decision.refusal, placement_refusal::none) << "entry " << i;
        ++prompts[decision.chosen.endpoint->record.id];
    }
    const auto most = std::max_element(prompts.begin(), prompts.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    EXPECT_LE(most->second, 4) << "prompts at " << most->first << " of " << entryCount << " over " << engineCount << " idle engines";
}

TEST_F(placement_fleet_test, NoLessUrgentPromptIsPlacedWhileAnUrgentOneOfHalfItsSizeIsRefused)
{
    constexpr int urgentRank = 0;
    constexpr int otherRank = 5;
    auto &entry = *m_entries.front();
    std::map<std::string, endpoint_load> busy;
    for (int i = 0; i < engineCount; ++i) {
        busy[engineId(i)] = {.waiting = 2, .waitingTokens = {urgentRank, 30000}, .longPrompts = 2};
    }
    entry.onPeerDigest("other", {.endpoints = busy, .placements = {{900, engineId(5)}}}, start);
    auto urgent = promptOfSession(1, std::chrono::milliseconds(1500));
    urgent.rank = urgentRank;
    ASSERT_EQ(entry.place(urgent, start).refusal, placement_refusal::overloaded) << "667 ms of waiting and 378 ms of prefill, with a limit of 900 ms";
    placement_request other{.service = "model",
                            .prompt = {{900, 32000}, {901, 8000}},
                            .promptTokens = 40000,
                            .hasPrompt = true,
                            .rank = otherRank,
                            .firstByteTarget = std::chrono::milliseconds(1500),
                            .maxFirstByteWait = std::chrono::seconds(4)};
    EXPECT_EQ(entry.place(other, start).refusal, placement_refusal::overloaded) << "an engine that has its shared part cached takes it";
}

TEST_F(placement_fleet_test, ALongPromptUsesOneOfFewIdleEnginesRatherThanOneWithStreams)
{
    constexpr int idleEngines = 8;
    exchangeDigests(start);
    std::map<std::string, endpoint_load> streams;
    for (int i = idleEngines; i < engineCount; ++i) {
        streams[engineId(i)] = {.shortPrompts = 10};
    }
    for (std::uint64_t session = 0; session < 20; ++session) {
        auto &entry = *m_entries[session];
        entry.onPeerDigest("other", {.endpoints = streams}, start);
        auto request = promptOfSession(session, std::chrono::milliseconds(1500));
        request.prompt = {{1000 + session, 2000}, {50000 + session, 1000}};
        request.promptTokens = 3000;
        const auto decision = entry.place(request, start);
        ASSERT_EQ(decision.refusal, placement_refusal::none);
        EXPECT_FALSE(streams.contains(decision.chosen.endpoint->record.id)) << "session " << session << " stalls 10 streams";
    }
}

TEST_F(placement_fleet_test, LongPromptsWithoutPartsUseAllEngines)
{
    exchangeDigests(start);
    std::set<std::string> used;
    for (std::uint64_t i = 0; i < 40 * entryCount; ++i) {
        const placement_request request{.service = "model",
                                        .promptTokens = promptTokens,
                                        .hasPrompt = true,
                                        .requestKey = i,
                                        .firstByteTarget = std::chrono::seconds(100),
                                        .maxFirstByteWait = std::chrono::seconds(100)};
        const auto decision = m_entries[i % entryCount]->place(request, start);
        ASSERT_EQ(decision.refusal, placement_refusal::none);
        used.insert(decision.chosen.endpoint->record.id);
    }
    EXPECT_GE(used.size(), std::size_t{engineCount - 2}) << "all but the engines kept for short prompts";
}

TEST_F(placement_fleet_test, APartThatManyPromptsShareSpreadsBeyondItsFirstEngines)
{
    exchangeDigests(start);
    std::set<std::string> used;
    for (int i = 0; i < 20 * entryCount; ++i) {
        const auto &entry = m_entries[static_cast<std::size_t>(i % entryCount)];
        const auto request = promptOfSession(7, std::chrono::milliseconds(1500));
        const auto decision = entry->place(request, start);
        if (decision.refusal == placement_refusal::none) {
            entry->onSent(request, decision.chosen, start);
            used.insert(decision.chosen.endpoint->record.id);
        }
        exchangeDigests(start);
    }
    EXPECT_GT(used.size(), placement_options{}.minSampledEngines) << "its first engines are busy, and the others idle";
}

TEST_F(placement_fleet_test, EntriesChooseTheSameEngineForOneNewPart)
{
    exchangeDigests(start);
    loadAllEnginesBut(10);
    std::map<std::string, int> holders;
    for (const auto &entry : m_entries) {
        const auto decision = entry->place(promptOfSession(7, std::chrono::milliseconds(1500)), start);
        ASSERT_EQ(decision.refusal, placement_refusal::none);
        ++holders[decision.chosen.endpoint->record.id];
    }
    EXPECT_EQ(holders.size(), 1U) << "the part would be prefilled on each of them";
}

TEST_F(placement_fleet_test, AnUrgentPromptIsPlacedWhenLessUrgentOnesHaveFilledTheEngines)
{
    constexpr int urgentRank = 4;
    constexpr int otherRank = 5;
    exchangeDigests(start);
    std::uint64_t session = 0;
    int refused = 0;
    // All entries send until each of them refuses its next less urgent prompt.
    while (refused < entryCount) {
        refused = 0;
        for (const auto &entry : m_entries) {
            auto request = promptOfSession(session++, std::chrono::milliseconds(1500));
            request.rank = otherRank;
            const auto decision = entry->place(request, start);
            if (decision.refusal == placement_refusal::none) {
                entry->onSent(request, decision.chosen, start);
            } else {
                ++refused;
            }
        }
        exchangeDigests(start);
        ASSERT_LT(session, 10000U);
    }
    for (const auto &entry : m_entries) {
        auto request = promptOfSession(session++, std::chrono::milliseconds(1000));
        request.rank = urgentRank;
        EXPECT_EQ(entry->place(request, start).refusal, placement_refusal::none) << "an engine begins it before the waiting prompts of rank " << otherRank;
    }
}

TEST_F(placement_fleet_test, AnEntryThatObservesEachEngineRarelyLearnsFromAllOfThem)
{
    auto &entry = *m_entries.front();
    constexpr duration target = std::chrono::milliseconds(800);
    time_point now = start;
    int refusedFirst = 0;
    constexpr std::uint64_t prompts = 40;
    // Every first byte comes three times as late as predicted, each time at another engine.
    for (std::uint64_t i = 0; i < prompts; ++i) {
        now += std::chrono::milliseconds(50);
        auto request = promptOfSession(i, target);
        request.prompt = {{1000 + i, 12000}, {50000 + i, 3000}};
        request.promptTokens = 15000;
        const auto decision = entry.place(request, now);
        if (decision.refusal != placement_refusal::none) {
            refusedFirst += i < prompts / 2 ? 1 : 0;
            continue;
        }
        entry.onSent(request, decision.chosen, now);
        entry.onFirstByte(decision.chosen, 3 * decision.chosen.predictedFirstByte, now);
        entry.onFinished(decision.chosen, true);
    }
    EXPECT_EQ(refusedFirst, 0) << "333 ms of prefill fit into 480 ms";
    const auto queued = entry.place(promptOfSession(900, target), now);
    EXPECT_GT(queued.chosen.predictedFirstByte + queued.predictedFirstByte, std::chrono::milliseconds(600))
        << "378 ms of prefill at engines that have not been observed";
}

} // namespace
} // namespace wisteriashunt

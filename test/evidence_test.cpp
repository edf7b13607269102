// Tests that the audit reports altered, missing and reordered evidence, and that the number of metrics series is limited.
#include "evidence/audit.h"

#include "support.h"

#include "evidence/metrics.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace wisteriashunt
{
namespace
{

class evidence_test : public ::testing::Test
{
protected:
    evidence_test()
    {
        for (std::uint64_t i = 1; i <= 4; ++i) {
            m_records.push_back({.offset = i, .data = m_chain.seal({makeDecision(2 * i), makeDecision(2 * i + 1)})});
        }
    }

    static decision makeDecision(std::uint64_t sequence, int tier = 1)
    {
        decision value{.event = event_number::attempt_started,
                       .at = testing::startOfTime + std::chrono::seconds(sequence),
                       .request = {.entry = 1, .sequence = sequence},
                       .className = "c",
                       .tier = tier,
                       .reason = "tier"};
        return value;
    }

    std::vector<audit_finding_kind> findings() const
    {
        std::vector<audit_finding_kind> kinds;
        for (const auto &finding : audit(m_records, 1).findings) {
            kinds.push_back(finding.kind);
        }
        return kinds;
    }

    evidence_chain m_chain{"endpoint-a", 5};
    std::vector<log_record> m_records;
};

TEST_F(evidence_test, FindsNothingInAnIntactChain)
{
    const auto report = audit(m_records, 1);
    EXPECT_TRUE(report.findings.empty());
    EXPECT_EQ(report.decisions.size(), 8U);
}

TEST_F(evidence_test, FindsAnAlteredDecision)
{
    const auto position = m_records[1].data.find("\"reason\":\"tier\"");
    m_records[1].data.replace(position, 15, "\"reason\":\"none\"");
    EXPECT_EQ(findings(), std::vector{audit_finding_kind::altered_record});
}

TEST_F(evidence_test, FindsAnAlteredBatchWhoseHashWasRecomputed)
{
    auto batch = parseBatch(m_records[1].data);
    ASSERT_TRUE(batch.has_value());
    evidence_chain forged("endpoint-a", 5);
    static_cast<void>(forged.seal({makeDecision(2), makeDecision(3)}));
    m_records[1].data = forged.seal({makeDecision(77), makeDecision(5)});
    EXPECT_EQ(findings(), std::vector{audit_finding_kind::altered_record});
}

TEST_F(evidence_test, FindsADroppedBatch)
{
    m_records.erase(m_records.begin() + 1);
    EXPECT_EQ(findings(), std::vector{audit_finding_kind::missing_record});
}

TEST_F(evidence_test, FindsSwappedBatches)
{
    std::swap(m_records[1], m_records[2]);
    const auto kinds = findings();
    EXPECT_NE(std::find(kinds.begin(), kinds.end(), audit_finding_kind::reordered_record), kinds.end());
}

TEST_F(evidence_test, FindsAnUnreadableRecord)
{
    m_records.push_back({.offset = 5, .data = "garbage"});
    EXPECT_EQ(findings(), std::vector{audit_finding_kind::unreadable_record});
}

TEST_F(evidence_test, ToleratesABatchThatWasWrittenTwice)
{
    m_records.insert(m_records.begin() + 2, m_records[1]);
    EXPECT_TRUE(findings().empty());
}

TEST_F(evidence_test, ReportsADeclaredLoss)
{
    m_chain.countLost(3);
    m_records.push_back({.offset = 5, .data = m_chain.seal({makeDecision(20)})});
    EXPECT_EQ(findings(), std::vector{audit_finding_kind::declared_loss});
}

TEST_F(evidence_test, AcceptsAChainWhoseBeginningHasExpired)
{
    m_records.erase(m_records.begin());
    EXPECT_TRUE(audit(m_records, 2).findings.empty());
}

TEST_F(evidence_test, ReportsAViolationOfTheYieldRule)
{
    decision violation = makeDecision(30, 3);
    violation.waiting = {1, 0, 0};
    m_records.push_back({.offset = 5, .data = m_chain.seal({violation})});
    EXPECT_EQ(findings(), std::vector{audit_finding_kind::yield_violation});
}

TEST_F(evidence_test, AcceptsAFloorStartWhileAHigherTierWaits)
{
    decision floorStart = makeDecision(30, 3);
    floorStart.waiting = {1, 0, 0};
    floorStart.reason = "floor";
    m_records.push_back({.offset = 5, .data = m_chain.seal({floorStart})});
    EXPECT_TRUE(findings().empty());
}

TEST(metrics_test, BoundsTheNumberOfLabelledSeries)
{
    metrics counters;
    constexpr int names = 3000;
    for (int i = 0; i < names; ++i) {
        counters.countLabelled("attempts_total", "endpoint", "e" + std::to_string(i), "answered");
    }
    const auto text = counters.render();
    EXPECT_LT(std::count(text.begin(), text.end(), '\n'), names);
    EXPECT_NE(text.find("wisteriashunt_attempts_total{endpoint=\"e0\",outcome=\"answered\"} 1"), std::string::npos);
    EXPECT_NE(text.find("wisteriashunt_attempts_total{endpoint=\"other\",outcome=\"answered\"} 1000"), std::string::npos);
}

} // namespace
} // namespace wisteriashunt

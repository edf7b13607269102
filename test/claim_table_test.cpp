// Tests of claim_table: all readers of the log must agree on which claim holds a key.
#include "request/claim_table.h"

#include "support.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::makeAttempt;

class claim_table_test : public ::testing::Test
{
protected:
    claim makeClaim(std::uint64_t sequence) const
    {
        return {.key = m_key, .fingerprint = 5, .attempt = makeAttempt(sequence), .endpointName = "e1", .endpointIncarnation = 9};
    }

    void append(const std::string &record)
    {
        m_table.apply({.offset = ++m_offset, .data = record});
    }

    claim_key m_key{.workspaceName = "w", .key = "k"};
    claim_table m_table;
    log_offset m_offset = 0;
};

TEST_F(claim_table_test, FirstClaimWinsTheKey)
{
    append(makeClaimRecord(makeClaim(1)));
    append(makeClaimRecord(makeClaim(2)));
    ASSERT_NE(m_table.find(m_key), nullptr);
    EXPECT_EQ(m_table.find(m_key)->value, makeClaim(1));
}

TEST_F(claim_table_test, NextClaimWinsAfterAVoid)
{
    append(makeClaimRecord(makeClaim(1)));
    append(makeVoidRecord(m_key, 1));
    append(makeClaimRecord(makeClaim(2)));
    EXPECT_EQ(m_table.find(m_key)->value, makeClaim(2));
}

TEST_F(claim_table_test, IgnoresVoidOfAnotherClaim)
{
    append(makeClaimRecord(makeClaim(1)));
    append(makeVoidRecord(m_key, 7));
    EXPECT_NE(m_table.find(m_key), nullptr);
}

TEST_F(claim_table_test, KeepsOutcomeAfterALaterVoid)
{
    append(makeClaimRecord(makeClaim(1)));
    append(makeOutcomeRecord(m_key, 1, {.httpStatus = 200, .contentType = "text/plain", .body = "done\xff"}));
    append(makeVoidRecord(m_key, 1));
    ASSERT_NE(m_table.find(m_key), nullptr);
    ASSERT_TRUE(m_table.find(m_key)->outcome.has_value());
    EXPECT_EQ(m_table.find(m_key)->outcome->body, "done\xff");
}

TEST_F(claim_table_test, SkipsMalformedRecords)
{
    append("garbage");
    append("{\"type\":\"claim\"}");
    append(makeClaimRecord(makeClaim(1)));
    EXPECT_EQ(m_table.find(m_key)->offset, 3U);
}

TEST_F(claim_table_test, ErasesClaimsThatTheLogNoLongerRetains)
{
    append(makeClaimRecord(makeClaim(1)));
    m_table.eraseBefore(2);
    EXPECT_EQ(m_table.find(m_key), nullptr);
}

} // namespace
} // namespace wisteriashunt

// Tests of the parser of declarations, the error table and the configuration reducer.
#include "configuration/declarations.h"
#include "configuration/reducer.h"
#include "wisteriashunt/errors.h"

#include "support.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::makeClass;

log_page pageOf(const std::vector<std::string> &records, log_offset first = 1)
{
    log_page page{.firstRetained = first, .next = first + records.size(), .records = {}};
    for (std::size_t i = 0; i < records.size(); ++i) {
        page.records.push_back({.offset = first + i, .data = records[i]});
    }
    return page;
}

std::string put(const std::string &changeId, const std::string &name, log_offset baseVersion, int tier = 1)
{
    return makeChangeRecord(
        {.changeId = changeId, .author = "alice", .changedAt = "now", .baseVersion = baseVersion, .isDelete = false, .value = makeClass(name, tier)});
}

TEST(reducer_test, AcceptsTheFirstOfTwoConflictingChanges)
{
    configuration_reducer reducer;
    reducer.apply(pageOf({put("a", "c", 0, 1), put("b", "c", 0, 2)}));
    EXPECT_EQ(reducer.verdictOf("a"), change_verdict::accepted);
    EXPECT_EQ(reducer.verdictOf("b"), change_verdict::conflict);
    EXPECT_EQ(reducer.state().classes.at("c").value.tier, 1);
}

TEST(reducer_test, AppliesAChangeOnceWhenItIsWrittenTwice)
{
    configuration_reducer reducer;
    reducer.apply(pageOf({put("a", "c", 0), put("a", "c", 0)}));
    EXPECT_EQ(reducer.state().classes.at("c").version, 1U);
    EXPECT_EQ(reducer.verdictOf("a"), change_verdict::accepted);
}

TEST(reducer_test, DoesNotRecreateADeletedResourceWhenItsCreationIsRepeated)
{
    const std::string deletion =
        makeChangeRecord({.changeId = "d", .author = "bob", .changedAt = "now", .baseVersion = 1, .isDelete = true, .value = makeClass("c", 1)});
    configuration_reducer reducer;
    reducer.apply(pageOf({put("a", "c", 0), deletion, put("a", "c", 0)}));
    EXPECT_TRUE(reducer.state().classes.empty());
}

TEST(reducer_test, SkipsMalformedRecordsAndAdvancesPastThem)
{
    configuration_reducer reducer;
    reducer.apply(pageOf({"not json", "{\"type\":\"change\"}", put("a", "c", 0)}));
    EXPECT_EQ(reducer.state().offset, 3U);
    EXPECT_TRUE(reducer.state().classes.contains("c"));
}

TEST(reducer_test, ClosesARetentionGapWithASnapshotRecord)
{
    configuration_reducer writer;
    writer.apply(pageOf({put("a", "c", 0), put("b", "d", 0)}));
    configuration_reducer lateReader;
    EXPECT_FALSE(lateReader.apply(pageOf({put("x", "e", 0)}, 3)));
    EXPECT_TRUE(lateReader.apply(pageOf({writer.makeSnapshotRecord()}, 4)));
    EXPECT_TRUE(lateReader.state().classes.contains("c"));
    EXPECT_TRUE(lateReader.state().classes.contains("e"));
    EXPECT_EQ(lateReader.state().offset, 4U);
}

TEST(reducer_test, IgnoresAnOlderSnapshot)
{
    configuration_reducer older;
    older.apply(pageOf({put("a", "c", 0)}));
    configuration_reducer newer;
    newer.apply(pageOf({put("a", "c", 0), put("b", "d", 0)}));
    EXPECT_FALSE(newer.adoptSnapshot(older.makeSnapshot()));
    EXPECT_EQ(newer.state().offset, 2U);
}

TEST(reducer_test, MakesTheSameSnapshotHoweverTheRecordsArePaged)
{
    configuration_reducer fromOnePage;
    configuration_reducer fromTwoPages;
    fromOnePage.apply(pageOf({put("a", "c", 0), put("b", "d", 0)}));
    fromTwoPages.apply(pageOf({put("a", "c", 0)}));
    fromTwoPages.apply(pageOf({put("b", "d", 0)}, 2));
    EXPECT_EQ(fromOnePage.makeSnapshot(), fromTwoPages.makeSnapshot());
}

TEST(declarations_test, ReportEveryFaultWithItsLine)
{
    std::vector<fault> faults;
    const auto parsed = parseDeclarations("f.yaml", "kind: class\nname: Bad Name\nspec:\n  tier: 9\n  floor: x\n  typo: 1\n", faults);
    EXPECT_TRUE(parsed.empty());
    const std::string text = toString(faults);
    EXPECT_NE(text.find("f.yaml:2: name"), std::string::npos) << text;
    EXPECT_NE(text.find("f.yaml:4: spec.tier"), std::string::npos) << text;
    EXPECT_NE(text.find("f.yaml:5: spec.floor"), std::string::npos) << text;
    EXPECT_NE(text.find("f.yaml:6: spec.typo"), std::string::npos) << text;
    EXPECT_NE(text.find("spec.endpoints"), std::string::npos) << text;
}

TEST(declarations_test, RoundTripThroughYaml)
{
    const resource value = makeClass("contracts", 2, 0.1, {"e1", "e2"});
    std::vector<fault> faults;
    const auto parsed = parseDeclarations("f", toYaml(value), faults);
    ASSERT_TRUE(faults.empty()) << toString(faults);
    EXPECT_EQ(parsed, std::vector<resource>{value});
}

TEST(declarations_test, LimitTheSumOfFloorsAtAnEndpoint)
{
    const auto state = testing::makeState({makeClass("a", 1, 0.3), makeClass("b", 2, 0.3)});
    const auto problems = checkConsistency(state);
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_NE(problems[0].find("add up to 0.6"), std::string::npos) << problems[0];
}

TEST(errors_test, GiveEveryKindOneAnswerWithADefaultMessage)
{
    for (const auto &answer : errorTable()) {
        EXPECT_EQ(&answerFor(answer.kind), &answer);
        EXPECT_FALSE(answer.defaultMessage.empty());
    }
}

} // namespace
} // namespace wisteriashunt

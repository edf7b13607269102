// Tests of route lookup, workspace lookup, ranks and the choice of services.
#include "routing/route_table.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

routing_declarations declared()
{
    return {.version = 3,
            .routes = {{.name = "short", .host = "a.example", .pathPrefix = "/x/", .tier = 1, .targets = {{.service = "s"}}},
                       {.name = "long", .host = "A.example", .pathPrefix = "/x/y/", .tier = 2, .targets = {{.service = "s"}}},
                       {.name = "other", .host = "b.example", .pathPrefix = "/", .targets = {{.service = "s"}}}},
            .workspaces = {{.name = "north", .apiKeys = {"k1", "k2"}, .tier = 1}, {.name = "south", .apiKeys = {"k3"}}}};
}

std::string nameOf(const route *found)
{
    return found == nullptr ? "none" : found->name;
}

TEST(route_table_test, MatchesTheLongestPrefixOfTheHost)
{
    const route_table table(declared());
    EXPECT_EQ(nameOf(table.find("a.example", "/x/1")), "short");
    EXPECT_EQ(nameOf(table.find("a.example", "/x/y/1?q=/z/")), "long");
    EXPECT_EQ(nameOf(table.find("a.example", "/x/y")), "short");
    EXPECT_EQ(nameOf(table.find("b.example", "/anything")), "other");
}

TEST(route_table_test, IgnoresCaseAndPortOfTheHost)
{
    const route_table table(declared());
    EXPECT_EQ(nameOf(table.find("A.EXAMPLE:8080", "/x/1")), "short");
}

TEST(route_table_test, FindsNothingForAnUnknownHostOrPrefix)
{
    const route_table table(declared());
    EXPECT_EQ(nameOf(table.find("c.example", "/x/1")), "none");
    EXPECT_EQ(nameOf(table.find("a.example", "/x")), "none");
    EXPECT_EQ(nameOf(table.find("a.example", "/")), "none");
    EXPECT_EQ(nameOf(table.find("a.example", "/z?p=/x/")), "none");
}

TEST(route_table_test, FindsWorkspacesByAnyOfTheirKeys)
{
    const route_table table(declared());
    ASSERT_NE(table.findWorkspace("k2"), nullptr);
    EXPECT_EQ(table.findWorkspace("k2")->name, "north");
    EXPECT_EQ(table.findWorkspace("unknown"), nullptr);
    EXPECT_EQ(table.findWorkspace(""), nullptr);
}

TEST(route_table_test, RanksByWorkspaceThenByRoute)
{
    const route_table table(declared());
    const auto *urgent = table.find("b.example", "/");
    const auto *lessUrgent = table.find("a.example", "/x/y/");
    const auto *north = table.findWorkspace("k1");
    const auto *south = table.findWorkspace("k3");
    EXPECT_LT(table.rankOf(*urgent, south), table.rankOf(*lessUrgent, south));
    EXPECT_LT(table.rankOf(*lessUrgent, south), table.rankOf(*urgent, north));
    EXPECT_LT(table.rankOf(*urgent, north), table.rankOf(*lessUrgent, north));
}

TEST(route_table_test, DistributesRequestsByWeightAndKeepsEachKeyOnOneService)
{
    const route split{.targets = {{.service = "a", .weight = 90}, {.service = "b", .weight = 10}, {.service = "c", .weight = 0}}};
    int toB = 0;
    constexpr int requests = 10000;
    for (int i = 0; i < requests; ++i) {
        const std::string key = "request-" + std::to_string(i);
        const auto *service = chooseService(split, key);
        ASSERT_NE(service, nullptr);
        EXPECT_EQ(service, chooseService(split, key));
        EXPECT_NE(*service, "c");
        toB += *service == "b" ? 1 : 0;
    }
    // Four standard deviations of 10,000 draws with probability 0.1.
    EXPECT_NEAR(toB, 1000, 120);
    EXPECT_EQ(chooseService({}, "x"), nullptr);
}

} // namespace
} // namespace wisteriashunt

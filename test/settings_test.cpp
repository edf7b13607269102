// Tests parsing and checking of the daemon's settings.
#include "daemon/settings.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

const std::string valid = R"(role: endpoint
instance: endpoint-a
zone: bc-coast-1
listen: {address: 127.0.0.1, port: 7000}
admin: {address: 127.0.0.1, port: 7001}
platform: {log: "http://127.0.0.1:9000", instances: "http://127.0.0.1:9000"}
peerKeys: [{name: k, secret: a-long-enough-secret}]
endpoint: {name: engine-a, url: "http://127.0.0.1:8000"}
)";

TEST(settings_test, AcceptsValidSettings)
{
    std::vector<fault> faults;
    const auto settings = parseSettings("s.yaml", valid, faults);
    EXPECT_TRUE(faults.empty()) << toString(faults);
    EXPECT_EQ(settings.endpointName, "engine-a");
    EXPECT_EQ(settings.listen.port, 7000);
}

TEST(settings_test, ReportsAllFaultsAtOnce)
{
    std::vector<fault> faults;
    static_cast<void>(parseSettings("s.yaml", "role: queen\ninstance: A\nlisten: {address: here, port: 99999}\nextra: 1\n", faults));
    const std::string text = toString(faults);
    for (const char *expected :
         {"s.yaml:1: role", "s.yaml:2: instance", "zone", "listen.address", "listen.port", "admin", "platform.log", "peerKeys", "s.yaml:4: extra"}) {
        EXPECT_NE(text.find(expected), std::string::npos) << expected << " is missing in\n" << text;
    }
}

TEST(settings_test, ReportsMalformedYaml)
{
    std::vector<fault> faults;
    static_cast<void>(parseSettings("s.yaml", "role: [\n", faults));
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults[0].key, "(document)");
}

TEST(settings_test, ReportsAMissingFile)
{
    std::vector<fault> faults;
    static_cast<void>(loadSettings("/nonexistent/settings.yaml", faults));
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults[0].found, "an unreadable file");
}

} // namespace
} // namespace wisteriashunt

// Tests entries whose log executes an earlier version of the declarations after a later one.
#include "gateway_fixture.h"

namespace wisteriashunt::testing
{
namespace
{

class outdated_declarations_test : public gateway_test
{
protected:
    outdated_declarations_test()
    {
        m_endpoints.push_back(std::make_unique<loopback_server>([](const received_request &got) { return ok(got, "whole"); }));
        m_log.putEndpoint("e0", m_endpoints.front()->port());
    }

    /// Appends a version whose routes are those of declarationsForTests(), and one more for each path prefix.
    void declare(int version, const std::vector<std::string> &prefixes)
    {
        auto declarations = declarationsForTests();
        declarations["version"] = version;
        for (const auto &prefix : prefixes) {
            auto route = declarations["routes"][0];
            route["name"] = prefix;
            route["path_prefix"] = prefix;
            declarations["routes"].push_back(route);
        }
        m_log.put("keyed.op", "config", declarations.dump());
    }

    static bool isServed(const entry_ports &entry, const std::string &path)
    {
        return callOnceAt(entry.callers, request(path)).ends_with("whole");
    }

    /// Whether the entry serves the path soon, at the latest after the time within which entries must follow new declarations.
    static bool isServedSoon(const entry_ports &entry, const std::string &path)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
        while (!isServed(entry, path)) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return true;
    }

    entry_ports m_other;
};

// An entry that started after the log had executed version 2 late refused the routes of version 3, which all other entries served.
TEST_F(outdated_declarations_test, AnEntryThatStartsAfterALateVersionUsesThatOfItsPeers)
{
    declare(3, {"/new/"});
    launch(settingsForTests(m_ports, m_log.port()));
    waitUntilReady(m_ports.readiness);
    ASSERT_TRUE(isServedSoon(m_ports, "/new/1"));
    declare(2, {});
    launch(settingsForTests(m_other, m_log.port(), {m_ports.control}));
    waitUntilReady(m_other.readiness);
    EXPECT_TRUE(isServed(m_other, "/new/2"));
    EXPECT_TRUE(isServed(m_ports, "/new/3"));

    declare(4, {"/newer/"});
    ASSERT_TRUE(isServedSoon(m_ports, "/newer/1"));
    ASSERT_TRUE(isServedSoon(m_other, "/newer/2"));
    EXPECT_FALSE(isServed(m_other, "/new/4")) << "version 4 drops the route";
}

// Its peers learn the later version from an entry that was there, also if they are at the same place of the log.
TEST_F(outdated_declarations_test, AnEntryThatRunsWithALateVersionTakesThatOfAPeerThatItMeets)
{
    declare(3, {"/new/"});
    launch(settingsForTests(m_ports, m_log.port()));
    waitUntilReady(m_ports.readiness);
    ASSERT_TRUE(isServedSoon(m_ports, "/new/1"));
    declare(2, {});
    launch(settingsForTests(m_other, m_log.port()));
    waitUntilReady(m_other.readiness);
    ASSERT_FALSE(isServed(m_other, "/new/2"));
    entry_ports third;
    launch(settingsForTests(third, m_log.port(), {m_ports.control, m_other.control}));
    ASSERT_TRUE(isServedSoon(m_other, "/new/3"));
    waitUntilReady(third.readiness);
    EXPECT_TRUE(isServed(third, "/new/4"));
}

} // namespace
} // namespace wisteriashunt::testing

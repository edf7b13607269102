// Tests which connection of a caller gives way to a new one.
#include "gateway/caller_limit.h"

#include <gtest/gtest.h>

#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace wisteriashunt::testing
{
namespace
{

class caller_limit_test : public ::testing::Test
{
protected:
    ~caller_limit_test() override
    {
        for (const int descriptor : m_peers) {
            ::close(descriptor);
        }
    }

    /// Connects a caller that sends these bytes and reads nothing.
    std::shared_ptr<caller_connection> connect(std::string_view bytes)
    {
        std::array<int, 2> pair{};
        EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair.data()), 0);
        m_peers.push_back(pair[1]);
        const auto caller = caller_connection::adopt(m_loop, pair[0], {}, m_hooks);
        m_callers.add(caller);
        EXPECT_EQ(send(pair[1], bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
        static_cast<void>(m_loop.schedule(m_clock.now() + std::chrono::milliseconds(20), [this] { m_loop.stop(); }));
        m_loop.run();
        return caller;
    }

    /// Has a limit of as many connections as there are make room for one more.
    void admitAnother()
    {
        caller_limit limit(m_callers.all().size(), [](std::string_view) {});
        EXPECT_TRUE(limit.admit(m_callers, -1));
    }

    static constexpr std::size_t answerBytes = 4'000'000;

    boot_clock m_clock;
    event_loop m_loop{m_clock};
    std::vector<int> m_peers;
    caller_set m_callers;
    const caller_connection *m_closed = nullptr;
    std::shared_ptr<const caller_hooks> m_hooks = std::make_shared<caller_hooks>(caller_hooks{
        .onRequest = [](const auto &caller,
                        received_request &&request) { caller->answer("HTTP/1.1 200 OK\r\n", std::string(request.target == "/long" ? answerBytes : 2, 'x')); },
        .onDisconnected = [](caller_connection &) {},
        .onClosed = [this](caller_connection &caller) { m_closed = &caller; },
        .onFault = [](const auto &caller, read_fault) { caller->abort(); }});
};

TEST_F(caller_limit_test, TheIdleGiveWayBeforeThoseWhoseRequestIsNotWhole)
{
    const auto partial = connect("GET / HTTP/1.1\r\nHost: ");
    const auto idle = connect("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    admitAnother();
    EXPECT_EQ(m_closed, idle.get());
}

// A connection counts as idle once its answer is written. Closed then, its caller got a part of the answer of a request that had run.
TEST_F(caller_limit_test, AConnectionWhoseAnswerIsNotSentYetGivesWayLast)
{
    const auto unread = connect("GET /long HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto partial = connect("GET / HTTP/1.1\r\nHost: ");
    ASSERT_GT(unread->pendingBytes(), 0U);
    admitAnother();
    EXPECT_EQ(m_closed, partial.get());
}

} // namespace
} // namespace wisteriashunt::testing

// Tests an entry of a large fleet whose zone has another entry that reads the platform's log for it.
#include "gateway_fixture.h"

#include "gateway/entry_message.h"
#include "gateway/peer_records.h"

#include <arpa/inet.h>
#include <atomic>
#include <mutex>
#include <sys/socket.h>
#include <unistd.h>

namespace wisteriashunt::testing
{
namespace
{

using std::chrono::milliseconds;

constexpr int otherPeers = 40;

/// Peers of an entry: a relay of its zone, which serves records, one more of its zone, and others in another zone.
class fake_zone
{
public:
    explicit fake_zone(std::uint16_t entry)
        : m_entry{.sin_family = AF_INET, .sin_port = htons(entry), .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}, .sin_zero = {}}
        , m_records([this](const received_request &got) { return serve(got); })
    {
        m_sockets.push_back(bindTo(m_records.port()));
        for (int i = 0; i < otherPeers; ++i) {
            m_sockets.push_back(bindTo(0));
        }
        m_thread = std::thread([this] { greet(); });
    }

    ~fake_zone()
    {
        m_isStopping = true;
        m_thread.join();
        for (const int descriptor : m_sockets) {
            close(descriptor);
        }
    }

    fake_zone(const fake_zone &) = delete;
    fake_zone &operator=(const fake_zone &) = delete;

    /// What the relay answers for the topic of endpoints.
    void setEndpoints(keyed_snapshot snapshot)
    {
        const std::lock_guard lock(m_mutex);
        m_endpoints = std::move(snapshot);
    }

    /// Age of the relay's newest answer of the log.
    std::atomic<int> ageMilliseconds{0};
    /// Time since a call of the relay to the log failed.
    std::atomic<int> sinceFailureMilliseconds{3'600'000};
    /// Whether the relay is dead.
    std::atomic<bool> isSilent{false};

private:
    static int bindTo(std::uint16_t port)
    {
        const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
        const sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(port), .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}, .sin_zero = {}};
        if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            throw std::runtime_error("cannot bind a peer's socket");
        }
        return descriptor;
    }

    void greet()
    {
        const auto ofRelay = encodeEntryMessage({.place = {.availabilityZone = "z", .linkBytesPerSecond = 25e6, .isRelay = true}});
        // Its link is fast as well, so the entry itself is no relay.
        const auto ofSameZone = encodeEntryMessage({.place = {.availabilityZone = "z", .linkBytesPerSecond = 25e6}});
        const auto ofOther = encodeEntryMessage({.place = {.availabilityZone = "y", .linkBytesPerSecond = 25e6}});
        while (!m_isStopping) {
            for (std::size_t i = 0; i < m_sockets.size(); ++i) {
                const auto &bytes = i == 0 ? ofRelay : i == 1 ? ofSameZone : ofOther;
                if (i > 0 || !isSilent) {
                    sendto(m_sockets[i], bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&m_entry), sizeof m_entry);
                }
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
    }

    scripted_response serve(const received_request &got)
    {
        const std::lock_guard lock(m_mutex);
        if (isSilent) {
            return {.isSilent = true};
        }
        const bool isEndpoints = got.target.find("keyed.servers") != std::string::npos;
        // The declarations are those that the entry knows, at the place that it states.
        keyed_snapshot declarations{.next = 1};
        const peer_snapshot answer{.records = isEndpoints ? m_endpoints : declarations,
                                   .currency = follower_currency{.age = milliseconds(ageMilliseconds), .sinceFailure = milliseconds(sinceFailureMilliseconds)}};
        return {.parts = {withLength("HTTP/1.1 200 OK\r\n", encodeSnapshot(answer))}};
    }

    sockaddr_in m_entry;
    std::mutex m_mutex;
    keyed_snapshot m_endpoints;
    loopback_server m_records;
    std::vector<int> m_sockets;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

class relayed_records_test : public gateway_test
{
protected:
    relayed_records_test()
    {
        start([](const received_request &got) { return ok(got, "whole"); });
        m_zone = std::make_unique<fake_zone>(m_ports.control);
        m_zone->setEndpoints(endpointsUpTo(m_log.endOf("keyed.servers"), "ready"));
    }

    /// The records of the fake log as a relay would know them.
    keyed_snapshot endpointsUpTo(std::size_t end, const std::string &state, const std::string &id = "e0", const std::string &service = "s") const
    {
        const nlohmann::json record{{"service", service},
                                    {"address", "127.0.0.1:" + std::to_string(m_endpoints[0]->port())},
                                    {"zone", "z"},
                                    {"version", "v1"},
                                    {"slots", 4},
                                    {"state", state},
                                    {"born", 1},
                                    {"sequence", 100 + end}};
        const auto offset = static_cast<std::int64_t>(end) - 1;
        return {.next = static_cast<std::int64_t>(end), .records = {{.key = id, .value = record.dump(), .offset = offset}}};
    }

    /// Returns the number of calls to the log within the time.
    std::size_t callsToLogWithin(milliseconds time) const
    {
        const auto before = m_log.requests().size();
        std::this_thread::sleep_for(time);
        return m_log.requests().size() - before;
    }

    std::unique_ptr<fake_zone> m_zone;
};

TEST_F(relayed_records_test, ItCallsTheLogNoMoreWhileTheRelayIsCurrent)
{
    std::this_thread::sleep_for(milliseconds(3000));
    EXPECT_LE(callsToLogWithin(milliseconds(3000)), 1U) << "without a relay there are six";
}

TEST_F(relayed_records_test, ItFollowsTheListThroughTheRelay)
{
    std::this_thread::sleep_for(milliseconds(2500));
    EXPECT_NE(callOnce(request("/read/1")).find(" 200 "), std::string::npos);
    m_zone->setEndpoints(endpointsUpTo(m_log.endOf("keyed.servers") + 1, "draining"));
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_NE(callOnce(request("/read/1")).find("HTTP/1.1 503"), std::string::npos) << "the log still says that the endpoint is ready";
}

// Entries that follow the list through a relay held a removal for over the drain timeout if one call of the relay had failed before.
TEST_F(relayed_records_test, ARemovalTakesEffectAtOnceAlthoughACallOfTheRelayHasFailed)
{
    std::this_thread::sleep_for(milliseconds(2500));
    ASSERT_NE(callOnce(request("/read/1")).find(" 200 "), std::string::npos);
    m_zone->sinceFailureMilliseconds = 1000;
    m_zone->setEndpoints(endpointsUpTo(m_log.endOf("keyed.servers") + 1, "ready", "e1", "another"));
    std::this_thread::sleep_for(milliseconds(1300));
    const auto asked = m_endpoints[0]->requests().size();
    EXPECT_NE(callOnce(request("/read/1")).find("HTTP/1.1 503"), std::string::npos);
    EXPECT_EQ(m_endpoints[0]->requests().size(), asked);
}

TEST_F(relayed_records_test, ItCallsTheLogItselfWhileTheRelayCannot)
{
    std::this_thread::sleep_for(milliseconds(2500));
    m_zone->ageMilliseconds = 5000;
    std::this_thread::sleep_for(milliseconds(1500));
    EXPECT_GE(callsToLogWithin(milliseconds(3000)), 2U) << "within half of the drain timeout of 2 s";
}

TEST_F(relayed_records_test, ItCallsTheLogItselfOnceTheRelayIsSilent)
{
    std::this_thread::sleep_for(milliseconds(2500));
    m_zone->isSilent = true;
    std::this_thread::sleep_for(milliseconds(1500));
    EXPECT_GE(callsToLogWithin(milliseconds(2000)), 2U);
}

} // namespace
} // namespace wisteriashunt::testing

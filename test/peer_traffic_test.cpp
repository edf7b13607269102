// Tests what an entry of a large fleet sends to its peers while it is under load.
#include "gateway_fixture.h"

#include "gateway/entry_message.h"

#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <atomic>
#include <sys/socket.h>
#include <unistd.h>

namespace wisteriashunt::testing
{
namespace
{

using std::chrono::milliseconds;

constexpr int peerCount = 102;

/// Sockets of peers, which send messages without load to an entry and count what it sends.
class fake_peers
{
public:
    explicit fake_peers(std::uint16_t entry)
        : m_entry{.sin_family = AF_INET, .sin_port = htons(entry), .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}, .sin_zero = {}}
    {
        for (int i = 0; i < peerCount; ++i) {
            const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
            sockaddr_in address{.sin_family = AF_INET, .sin_port = 0, .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}, .sin_zero = {}};
            if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
                throw std::runtime_error("cannot bind a peer's socket");
            }
            m_sockets.push_back(descriptor);
        }
        m_thread = std::thread([this] { run(); });
    }

    ~fake_peers()
    {
        m_isStopping = true;
        m_thread.join();
        for (const int descriptor : m_sockets) {
            close(descriptor);
        }
    }

    fake_peers(const fake_peers &) = delete;
    fake_peers &operator=(const fake_peers &) = delete;

    [[nodiscard]] std::int64_t bytes() const
    {
        return m_bytes;
    }

private:
    void run()
    {
        constexpr int roundsPerGreeting = 20;
        const auto greeting = encodeEntryMessage({});
        for (int round = 0; !m_isStopping; ++round) {
            for (const int descriptor : m_sockets) {
                if (round % roundsPerGreeting == 0) {
                    sendto(descriptor, greeting.data(), greeting.size(), 0, reinterpret_cast<const sockaddr *>(&m_entry), sizeof m_entry);
                }
                std::array<char, 65536> buffer{};
                ssize_t count = 0;
                while ((count = recv(descriptor, buffer.data(), buffer.size(), 0)) > 0) {
                    m_bytes += count;
                }
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
    }

    sockaddr_in m_entry;
    std::vector<int> m_sockets;
    std::atomic<std::int64_t> m_bytes{0};
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

class peer_traffic_test : public gateway_test
{
protected:
    void startWithPrompts()
    {
        auto declarations = declarationsForTests();
        for (auto &route : declarations["routes"]) {
            route["sticky"] = route["kind"] == "stream";
        }
        declarations["services"][0]["engine"] = {{"slots", 16}, {"kv_tokens", 300000}};
        declarations["version"] = 2;
        m_log.put("keyed.op", "config", declarations.dump());
        start([](const received_request &got) {
            return scripted_response{.parts = {okHead(got) + "Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n") + std::string(lastChunk)}};
        });
    }

    /// Calls with long prompts of different shared parts, as fast as one caller can with the pause. Returns the number of calls.
    int call(milliseconds time, milliseconds pause)
    {
        int calls = 0;
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            ++calls;
            auto bytes = request("/draft/", absl::StrCat("X-Token-Usage: 3000,10\r\nX-Prompt-Prefix: c0:100,", absl::Hex(0x1000 + calls), ":2000,1:900\r\n"));
            const std::string standard = "X-Attempt-Id: a1";
            bytes.replace(bytes.find(standard), standard.size(), absl::StrCat("X-Attempt-Id: a", calls));
            static_cast<void>(callOnce(bytes));
            std::this_thread::sleep_for(pause);
        }
        return calls;
    }
};

TEST_F(peer_traffic_test, TakesNoMoreThanATenthOfASlowLinkUnderLoad)
{
    startWithPrompts();
    const fake_peers peers(m_ports.control);
    std::this_thread::sleep_for(milliseconds(1000));
    const auto before = peers.bytes();
    constexpr milliseconds time{4000};
    const int calls = call(time, milliseconds(20));
    const double bytesPerSecond = static_cast<double>(peers.bytes() - before) / toSeconds(time);
    constexpr double linkBytesPerSecond = 20e6 / 8;
    EXPECT_GT(calls, 80);
    EXPECT_LE(bytesPerSecond, linkBytesPerSecond / 10) << "with " << calls << " streams in " << time.count() << " ms and " << peerCount << " peers";
    EXPECT_GT(bytesPerSecond, 1000) << "loads must still be told";
}

} // namespace
} // namespace wisteriashunt::testing

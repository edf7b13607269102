// Tests of endpoints that answer a long upload before they have read it, and break the connection off.
#include "gateway_fixture.h"

#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace wisteriashunt::testing
{
namespace
{

using std::chrono::milliseconds;

/// How an endpoint ends an answer that has no length.
enum class early_end {
    reset,
    reset_after_pause,
    reset_after_upload,
    orderly,
};

/// Answers each request as soon as its head is there.
class early_endpoint
{
public:
    early_endpoint(std::string body, early_end end)
        : m_body(std::move(body))
        , m_end(end)
        , m_listener(listenOnLoopback())
        , m_thread([this] { acceptAll(); })
    {
    }

    ~early_endpoint()
    {
        m_isStopping = true;
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    early_endpoint(const early_endpoint &) = delete;
    early_endpoint &operator=(const early_endpoint &) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return portOf(m_listener);
    }

private:
    void acceptAll()
    {
        while (!m_isStopping) {
            const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor >= 0) {
                serve(descriptor);
            }
        }
    }

    void serve(int descriptor) const
    {
        // Some connections bring no request, and some uploads are not read to their end.
        const timeval patience{.tv_sec = 0, .tv_usec = 300'000};
        setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        std::array<char, 65536> buffer{};
        std::string head;
        while (head.find("\r\n\r\n") == std::string::npos) {
            const auto count = recv(descriptor, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                close(descriptor);
                return;
            }
            head.append(buffer.data(), static_cast<std::size_t>(count));
        }
        const std::string field = "X-Attempt-Id: ";
        const auto id = head.substr(head.find(field) + field.size(), head.find("\r\n", head.find(field)) - head.find(field) - field.size());
        const std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: s\r\n\r\n" + m_body;
        send(descriptor, answer.data(), answer.size(), MSG_NOSIGNAL);
        if (m_end == early_end::reset_after_pause) {
            std::this_thread::sleep_for(milliseconds(300));
        }
        if (m_end == early_end::orderly) {
            shutdown(descriptor, SHUT_WR);
        }
        if (m_end == early_end::orderly || m_end == early_end::reset_after_upload) {
            while (recv(descriptor, buffer.data(), buffer.size(), 0) > 0) { }
        }
        if (m_end != early_end::orderly) {
            const linger resetOnClose{.l_onoff = 1, .l_linger = 0};
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        }
        close(descriptor);
    }

    std::string m_body;
    early_end m_end;
    int m_listener;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

class early_answer_test : public gateway_test, public ::testing::WithParamInterface<std::tuple<const char *, int, int, early_end>>
{
};

TEST_P(early_answer_test, IsWholeOnlyIfItsConnectionEndsInOrder)
{
    const auto [path, uploadBytes, answerBytes, end] = GetParam();
    const std::string part(static_cast<std::size_t>(answerBytes), 'a');
    early_endpoint endpoint(part, end);
    auto declarations = declarationsForTests();
    declarations["version"] = 2;
    declarations["limits"]["max_body_bytes"] = 8'000'000;
    m_log.put("keyed.op", "config", declarations.dump());
    m_log.putEndpoint("e0", endpoint.port());
    launch(settingsForTests(m_ports, m_log.port()));
    waitUntilReady(m_ports.readiness);
    const auto reply = callOnce(request(path, "", std::string(static_cast<std::size_t>(uploadBytes), 'u')));
    const bool isStream = std::string_view(path) == "/talk/";
    const auto body = reply.substr(std::min(reply.size(), reply.find("\r\n\r\n") + 4));
    const bool isSuccess = reply.starts_with("HTTP/1.1 200");
    if (end == early_end::orderly && !isStream) {
        EXPECT_TRUE(isSuccess) << reply.substr(0, 200);
        EXPECT_EQ(body, part);
    } else if (end != early_end::orderly) {
        EXPECT_FALSE(isSuccess && (!isStream || reply.ends_with("0\r\n\r\n"))) << reply.substr(0, 200);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Uploads,
    early_answer_test,
    ::testing::Combine(::testing::Values("/read/", "/book/", "/talk/"),
                       ::testing::Values(40'000, 4'000'000),
                       ::testing::Values(20, 30'000),
                       ::testing::Values(early_end::reset, early_end::reset_after_pause, early_end::reset_after_upload, early_end::orderly)));

} // namespace
} // namespace wisteriashunt::testing

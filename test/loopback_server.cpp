#include "loopback_server.h"

#include "http/message_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace wisteriashunt::testing
{

namespace
{

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

} // namespace

std::uint16_t portOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

int listenOnLoopback(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    const auto address = loopback(port);
    constexpr int backlog = 64;
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(descriptor, backlog) != 0) {
        throw std::runtime_error("cannot listen on a free loopback port");
    }
    return descriptor;
}

int connectToLoopback(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

loopback_server::loopback_server(handler handle)
    : m_handler(std::move(handle))
    , m_listener(listenOnLoopback())
    , m_port(portOf(m_listener))
    , m_acceptor([this] { acceptAll(); })
{
}

loopback_server::~loopback_server()
{
    m_isStopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const int descriptor : m_descriptors) {
            shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (auto &thread : m_threads) {
        thread.join();
    }
    for (const int descriptor : m_descriptors) {
        ::close(descriptor);
    }
    ::close(m_listener);
}

std::uint16_t loopback_server::port() const
{
    return m_port;
}

std::vector<received_request> loopback_server::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

std::size_t loopback_server::sentBytes() const
{
    return m_sentBytes;
}

void loopback_server::crash(std::chrono::milliseconds downtime)
{
    int up = 0;
    if (!m_downtime.compare_exchange_strong(up, static_cast<int>(downtime.count()))) {
        return;
    }
    shutdown(m_listener, SHUT_RDWR);
    const std::lock_guard lock(m_mutex);
    for (const int descriptor : m_descriptors) {
        shutdown(descriptor, SHUT_RDWR);
    }
}

int loopback_server::abandonedConnections() const
{
    return m_abandonedConnections;
}

void loopback_server::acceptAll()
{
    while (!m_isStopping) {
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0 && m_downtime == 0) {
            return;
        }
        if (descriptor < 0) {
            ::close(m_listener);
            std::this_thread::sleep_for(std::chrono::milliseconds(m_downtime));
            m_listener = listenOnLoopback(m_port);
            m_downtime = 0;
            continue;
        }
        const std::lock_guard lock(m_mutex);
        m_descriptors.push_back(descriptor);
        m_threads.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void loopback_server::serve(int descriptor)
{
    request_reader reader({});
    std::array<char, 65536> buffer{};
    std::string waiting;
    while (!m_isStopping) {
        const ssize_t count = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            shutdown(descriptor, SHUT_RDWR);
            return;
        }
        waiting.append(buffer.data(), static_cast<std::size_t>(count));
        waiting.erase(0, reader.feed(waiting));
        while (reader.isComplete()) {
            const auto request = reader.next();
            {
                const std::lock_guard lock(m_mutex);
                m_requests.push_back(request);
            }
            if (!writeAnswer(descriptor, m_handler(request))) {
                return;
            }
            waiting.erase(0, reader.feed(waiting));
        }
    }
}

bool loopback_server::writeAnswer(int descriptor, const scripted_response &answer)
{
    const auto isPeerClosed = [descriptor] {
        char byte = 0;
        return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    };
    while (answer.isSilent && !m_isStopping) {
        pollfd watched{.fd = descriptor, .events = POLLIN, .revents = 0};
        poll(&watched, 1, 10);
        if (isPeerClosed()) {
            ++m_abandonedConnections;
            return false;
        }
    }
    for (std::size_t i = 0; i < answer.parts.size() || (answer.isEndless && !m_isStopping); ++i) {
        if (i > 0) {
            std::this_thread::sleep_for(answer.pause);
        }
        while (i > 0 && !answer.mayWrite(i) && !m_isStopping) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        const auto &part = answer.parts[std::min(i, answer.parts.size() - 1)];
        const ssize_t sent = isPeerClosed() ? -1 : ::send(descriptor, part.data(), part.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            ++m_abandonedConnections;
            return false;
        }
        m_sentBytes += static_cast<std::size_t>(sent);
    }
    if (answer.resets) {
        const linger resetOnClose{.l_onoff = 1, .l_linger = 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        // Connecting to an unspecified address resets the connection at once. The destructor closes the descriptor.
        const sockaddr_in none{.sin_family = AF_UNSPEC};
        ::connect(descriptor, reinterpret_cast<const sockaddr *>(&none), sizeof none);
        return false;
    }
    if (answer.closes) {
        shutdown(descriptor, SHUT_RDWR);
        return false;
    }
    return true;
}

raw_caller::raw_caller(std::uint16_t port)
    : m_descriptor(connectToLoopback(port))
{
    if (m_descriptor < 0) {
        throw std::runtime_error("cannot connect to loopback port " + std::to_string(port));
    }
}

raw_caller::~raw_caller()
{
    close();
}

void raw_caller::send(const std::string &bytes) const
{
    ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

std::string raw_caller::readUntil(const std::string &text)
{
    while ((text.empty() || m_read.find(text) == std::string::npos) && readMore()) { }
    return m_read;
}

std::string raw_caller::readAll()
{
    return readUntil("");
}

std::string raw_caller::readResponse()
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view lengthField = "Content-Length: ";
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    readUntil(std::string(headEnd));
    const auto head = m_read.find(headEnd);
    auto end = head == std::string::npos ? m_read.size() : head + headEnd.size();
    const auto length = m_read.find(lengthField);
    if (head != std::string::npos && length < head) {
        const auto size = end + std::stoul(m_read.substr(length + lengthField.size()));
        while (m_read.size() < size && readMore()) { }
        end = std::min(size, m_read.size());
    } else if (head != std::string::npos) {
        readUntil(std::string(lastChunk));
        end = std::min(m_read.size(), m_read.find(lastChunk) == std::string::npos ? m_read.size() : m_read.find(lastChunk) + lastChunk.size());
    }
    auto answer = m_read.substr(0, end);
    m_read.erase(0, end);
    return answer;
}

bool raw_caller::hasAnswer() const
{
    pollfd watched{.fd = m_descriptor, .events = POLLIN, .revents = 0};
    return poll(&watched, 1, 1) > 0;
}

bool raw_caller::readMore()
{
    std::array<char, 65536> buffer{};
    const ssize_t count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        m_read.append(buffer.data(), static_cast<std::size_t>(count));
    }
    m_wasReset = count < 0;
    return count > 0;
}

void raw_caller::close()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

/// WISTERIASHUNT_TEST_PORT sets another first port, so that tests can run beside each other.
std::uint16_t firstFreePort()
{
    constexpr std::uint16_t standard = 22000;
    const char *text = std::getenv("WISTERIASHUNT_TEST_PORT");
    return text == nullptr ? standard : static_cast<std::uint16_t>(std::stoul(text));
}

std::uint16_t freePort()
{
    // The range lies below the kernel's ephemeral ports, so that no outgoing connection can occupy a returned port.
    const std::uint16_t first = firstFreePort();
    constexpr std::uint16_t range = 1000;
    static std::atomic<std::uint16_t> next{first};
    while (next < first + range) {
        const std::uint16_t port = next++;
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        const bool isFree = bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(descriptor);
        if (isFree) {
            return port;
        }
    }
    throw std::runtime_error("no free loopback port among " + std::to_string(range) + " from " + std::to_string(first));
}

} // namespace wisteriashunt::testing

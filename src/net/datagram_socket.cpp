#include "net/datagram_socket.h"

#include "wisteriashunt/errors.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wisteriashunt
{

namespace
{

/// Largest UDP payload over IPv4.
constexpr std::size_t maxDatagramBytes = 65507;

} // namespace

datagram_socket::datagram_socket(event_loop &loop, const socket_address &address, receive_hook onReceive)
    : m_loop(loop)
    , m_descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , m_onReceive(std::move(onReceive))
{
    const sockaddr_in native = toSockaddr(address);
    if (bind(m_descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0) {
        throw shunt_error(error_kind::not_ready, "cannot bind UDP socket to " + toString(address) + ": " + std::strerror(errno));
    }
    loop.watch(m_descriptor, EPOLLIN, this);
}

datagram_socket::~datagram_socket()
{
    m_loop.unwatch(m_descriptor);
    ::close(m_descriptor);
}

bool datagram_socket::send(const socket_address &to, std::string_view bytes)
{
    const sockaddr_in native = toSockaddr(to);
    const ssize_t sent = sendto(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr *>(&native), sizeof native);
    return sent == static_cast<ssize_t>(bytes.size());
}

void datagram_socket::onReady(std::uint32_t)
{
    thread_local std::array<char, maxDatagramBytes> buffer;
    while (true) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t count = recvfrom(m_descriptor, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&from), &size);
        if (count < 0) {
            return;
        }
        m_onReceive({.ip = ntohl(from.sin_addr.s_addr), .port = ntohs(from.sin_port)}, std::string_view(buffer.data(), static_cast<std::size_t>(count)));
    }
}

} // namespace wisteriashunt

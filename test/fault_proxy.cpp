#include "fault_proxy.h"

#include "loopback_server.h"

#include <array>
#include <cerrno>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace wisteriashunt::testing
{

namespace
{

/// Maximum time until a connection reacts to a change of the link state.
constexpr int pollIntervalMilliseconds = 10;

void resetAndClose(int descriptor)
{
    const linger resetOnClose{.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    close(descriptor);
}

enum class transfer {
    moved,
    ended,
    failed,
};

transfer moveBytes(int from, int to)
{
    std::array<char, 65536> buffer{};
    const ssize_t count = recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count == 0) {
        return transfer::ended;
    }
    if (count < 0) {
        return errno == EAGAIN ? transfer::moved : transfer::failed;
    }
    return send(to, buffer.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) == count ? transfer::moved : transfer::failed;
}

} // namespace

fault_proxy::fault_proxy(std::uint16_t target)
    : m_target(target)
    , m_listener(listenOnLoopback())
    , m_acceptor([this] { acceptAll(); })
{
}

fault_proxy::~fault_proxy()
{
    m_isStopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    for (auto &thread : m_threads) {
        thread.join();
    }
    close(m_listener);
}

std::uint16_t fault_proxy::port() const
{
    return portOf(m_listener);
}

void fault_proxy::set(link_state state)
{
    m_state = state;
}

void fault_proxy::silenceOpenConnections()
{
    ++m_silenced;
}

void fault_proxy::acceptAll()
{
    while (!m_isStopping) {
        const int caller = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (caller < 0) {
            return;
        }
        m_threads.emplace_back([this, caller] { forward(caller); });
    }
}

void fault_proxy::forward(int caller)
{
    const int target = connectToLoopback(m_target);
    if (target < 0) {
        resetAndClose(caller);
        return;
    }
    std::array<pollfd, 2> watched{pollfd{.fd = caller, .events = POLLIN, .revents = 0}, pollfd{.fd = target, .events = POLLIN, .revents = 0}};
    bool isOpen = true;
    bool wasReset = false;
    const int silencedBefore = m_silenced;
    while (isOpen && !m_isStopping) {
        const auto state = m_state.load();
        if (state == link_state::reset) {
            wasReset = true;
            break;
        }
        if (state == link_state::silent || m_silenced != silencedBefore) {
            std::this_thread::sleep_for(std::chrono::milliseconds(pollIntervalMilliseconds));
            continue;
        }
        poll(watched.data(), watched.size(), pollIntervalMilliseconds);
        for (std::size_t i = 0; i < watched.size() && isOpen; ++i) {
            if (watched[i].revents != 0) {
                const auto result = moveBytes(watched[i].fd, watched[1 - i].fd);
                isOpen = result == transfer::moved;
                wasReset = wasReset || result == transfer::failed;
            }
        }
    }
    for (const int descriptor : {caller, target}) {
        if (wasReset) {
            resetAndClose(descriptor);
        } else {
            close(descriptor);
        }
    }
}

} // namespace wisteriashunt::testing

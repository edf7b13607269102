/// A TCP proxy on loopback with which a test injects connection faults.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace wisteriashunt::testing
{

/// State of all connections through the proxy, open and new ones.
enum class link_state {
    up,
    /// Connections are reset.
    reset,
    /// Connections stay open, but no bytes are forwarded in either direction.
    silent,
};

/// Forwards connections to the loopback port `target`, each on its own thread.
class fault_proxy
{
public:
    explicit fault_proxy(std::uint16_t target);
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    [[nodiscard]] std::uint16_t port() const;
    void set(link_state state);
    /// The connections that are open now forward nothing any more; new ones work.
    void silenceOpenConnections();

private:
    void acceptAll();
    void forward(int caller);

    std::uint16_t m_target;
    int m_listener;
    std::atomic<link_state> m_state{link_state::up};
    /// Number of times that the open connections were silenced.
    std::atomic<int> m_silenced{0};
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace wisteriashunt::testing

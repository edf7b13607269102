/// A proxy on loopback that a test puts before an outside system, to cut or silence its connections.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace wisteriashunt::testing
{

/// What happens to connections, open and new ones.
enum class link_state {
    up,
    /// They are reset.
    reset,
    /// They stay open, and no byte passes in either direction.
    silent,
};

/// Forwards every connection to a port of loopback. One thread for each connection.
class fault_proxy
{
public:
    explicit fault_proxy(std::uint16_t target);
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    [[nodiscard]] std::uint16_t port() const;
    void set(link_state state);

private:
    void acceptAll();
    void forward(int caller);

    std::uint16_t m_target;
    int m_listener;
    std::atomic<link_state> m_state{link_state::up};
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace wisteriashunt::testing

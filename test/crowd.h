/// Many callers that misbehave alike, on one thread, and what a process takes meanwhile.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace wisteriashunt::testing
{

/// What each caller of a crowd sends: `begin`, then `repeated` so many times, and then `trickled` byte by byte. Afterwards it stays connected.
struct crowd_options
{
    std::uint16_t port = 0;
    std::size_t connections = 0;
    std::string begin;
    /// Time from the connection on before which nothing after `begin` is sent.
    std::chrono::milliseconds pauseAfterBegin{0};
    std::string repeated;
    std::size_t repeats = 0;
    std::string trickled;
    std::chrono::milliseconds tricklePause{1000};
    /// Time over which the callers connect.
    std::chrono::milliseconds arrival{0};
    /// Whether callers read what they are sent. Those that do not also miss the end of their connection.
    bool reads = false;
    /// Whether a caller whose connection has ended opens another one and begins again.
    bool returns = false;
};

/// Runs a crowd until it is destroyed. Callers then close or, if wanted, reset their connections.
class crowd
{
public:
    explicit crowd(crowd_options options);
    ~crowd();
    crowd(const crowd &) = delete;
    crowd &operator=(const crowd &) = delete;

    /// Number of connections that were opened.
    [[nodiscard]] std::size_t opened() const;
    /// Bytes of all callers that the kernel has taken.
    [[nodiscard]] std::size_t sentBytes() const;
    void resetAtEnd();

private:
    struct member
    {
        int descriptor = -1;
        std::size_t sent = 0;
        std::chrono::steady_clock::time_point openedAt;
        std::chrono::steady_clock::time_point nextTrickle;
    };

    void run();
    void open(member &caller);
    void advance(member &caller);
    /// Returns the bytes that follow what the caller has sent; empty if there are none, or none yet.
    [[nodiscard]] std::string_view nextBytes(const member &caller) const;

    crowd_options m_options;
    std::vector<member> m_members;
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_resetsAtEnd{false};
    std::atomic<std::size_t> m_opened{0};
    std::atomic<std::size_t> m_sentBytes{0};
    std::thread m_thread;
};

/// Samples what a process takes until it is destroyed.
class resource_watch
{
public:
    /// `ports`: local ports of the process whose receive queues count as its memory.
    resource_watch(pid_t process, std::vector<std::uint16_t> ports);
    ~resource_watch();
    resource_watch(const resource_watch &) = delete;
    resource_watch &operator=(const resource_watch &) = delete;

    /// Most bytes of anonymous memory and receive queues together.
    [[nodiscard]] std::size_t peakBytes() const;
    [[nodiscard]] std::size_t peakDescriptors() const;

private:
    void sample();

    pid_t m_process;
    std::vector<std::uint16_t> m_ports;
    std::atomic<bool> m_isStopping{false};
    std::atomic<std::size_t> m_peakBytes{0};
    std::atomic<std::size_t> m_peakDescriptors{0};
    std::thread m_thread;
};

/// Lets this process open as many descriptors as its hard limit permits.
void raiseDescriptorLimit();

} // namespace wisteriashunt::testing

/// An HTTP server and a raw TCP client on loopback, whose bytes a test controls.
#pragma once

#include "http/message.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace wisteriashunt::testing
{

/// How the server responds to a request.
struct scripted_response
{
    /// Raw bytes, written part by part.
    std::vector<std::string> parts;
    /// Pause before each part except the first.
    std::chrono::milliseconds pause{0};
    /// Called with the index of each part except the first, which is written once this returns true.
    std::function<bool(std::size_t index)> mayWrite = [](std::size_t) { return true; };
    /// Writes the last part again and again until the client closes the connection.
    bool isEndless = false;
    /// Closes the connection after the last part.
    bool closes = false;
    /// Resets the connection after the last part.
    bool resets = false;
    /// Writes nothing and keeps the connection open until the client closes it.
    bool isSilent = false;
};

/// Serves persistent connections, each on its own thread. The handler runs on these threads.
class loopback_server
{
public:
    using handler = std::function<scripted_response(const received_request &)>;

    explicit loopback_server(handler handle);
    ~loopback_server();
    loopback_server(const loopback_server &) = delete;
    loopback_server &operator=(const loopback_server &) = delete;

    [[nodiscard]] std::uint16_t port() const;
    /// All requests received so far.
    [[nodiscard]] std::vector<received_request> requests() const;
    /// Closes all connections and refuses new ones for the time, then listens on the same port again. May be called from the handler.
    void crash(std::chrono::milliseconds downtime);
    /// Number of connections that the client closed before the response was complete.
    [[nodiscard]] int abandonedConnections() const;
    /// Bytes of all responses that were handed to the kernel.
    [[nodiscard]] std::size_t sentBytes() const;

private:
    void acceptAll();
    void serve(int descriptor);
    bool writeAnswer(int descriptor, const scripted_response &answer);

    handler m_handler;
    std::atomic<int> m_listener;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopping{false};
    /// Milliseconds for which the server is down; 0 while it listens.
    std::atomic<int> m_downtime{0};
    std::atomic<int> m_abandonedConnections{0};
    std::atomic<std::size_t> m_sentBytes{0};
    mutable std::mutex m_mutex;
    std::vector<received_request> m_requests;
    std::vector<int> m_descriptors;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// A raw client connection to a loopback port. The constructor throws std::runtime_error if it cannot connect.
class raw_caller
{
public:
    explicit raw_caller(std::uint16_t port);
    ~raw_caller();
    raw_caller(const raw_caller &) = delete;
    raw_caller &operator=(const raw_caller &) = delete;

    void send(const std::string &bytes) const;
    /// Reads until the text has arrived or the connection has closed. Returns all buffered bytes.
    std::string readUntil(const std::string &text);
    /// Reads until the connection closes.
    std::string readAll();
    /// Reads one response with Content-Length or chunked body; later bytes stay buffered. Returns a truncated response as far as it
    /// arrived.
    std::string readResponse();
    void close();

    /// Whether bytes have arrived, or the connection has closed, within a millisecond.
    [[nodiscard]] bool hasAnswer() const;
    /// Whether a read found that the connection was reset.
    [[nodiscard]] bool wasReset() const
    {
        return m_wasReset;
    }

private:
    /// Returns false if the connection has closed.
    bool readMore();

    int m_descriptor;
    std::string m_read;
    bool m_wasReset = false;
};

/// Opens a listener on the loopback port, or a free one if it is 0, and returns its descriptor. Throws std::runtime_error on failure.
[[nodiscard]] int listenOnLoopback(std::uint16_t port = 0);
/// Returns the port to which a listener is bound.
[[nodiscard]] std::uint16_t portOf(int descriptor);
/// Connects to a loopback port. Returns the descriptor, or -1 on failure.
[[nodiscard]] int connectToLoopback(std::uint16_t port);

/// Returns a loopback port that was free at the time of the call. Throws std::runtime_error if there is none.
[[nodiscard]] std::uint16_t freePort();

} // namespace wisteriashunt::testing

/// A server on loopback whose answers a test writes byte by byte.
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

/// What the server does with a request.
struct scripted_response
{
    /// Parts that are written one after the other.
    std::vector<std::string> parts;
    /// Pause before each part but the first.
    std::chrono::milliseconds pause{0};
    /// Whether the connection ends after the last part, and with a reset.
    bool closes = false;
    bool resets = false;
    /// Nothing is written, and the connection stays open until the caller leaves.
    bool isSilent = false;
};

/// One thread for each connection; every connection carries any number of requests.
class loopback_server
{
public:
    using handler = std::function<scripted_response(const received_request &)>;

    explicit loopback_server(handler handle);
    ~loopback_server();
    loopback_server(const loopback_server &) = delete;
    loopback_server &operator=(const loopback_server &) = delete;

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::vector<received_request> requests() const;
    /// Connections that the other side has closed while an answer was under way.
    [[nodiscard]] int abandonedConnections() const;

private:
    void acceptAll();
    void serve(int descriptor);
    bool writeAnswer(int descriptor, const scripted_response &answer);

    handler m_handler;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopping{false};
    std::atomic<int> m_abandonedConnections{0};
    mutable std::mutex m_mutex;
    std::vector<received_request> m_requests;
    std::vector<int> m_descriptors;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// A raw connection to a port of loopback.
class raw_caller
{
public:
    explicit raw_caller(std::uint16_t port);
    ~raw_caller();
    raw_caller(const raw_caller &) = delete;
    raw_caller &operator=(const raw_caller &) = delete;

    void send(const std::string &bytes) const;
    /// Reads until the text has come or the connection has ended. Returns everything read so far.
    std::string readUntil(const std::string &text);
    /// Reads to the end of the connection.
    std::string readAll();
    /// Reads one answer with a length or in chunks and keeps what follows. An answer that is cut is returned as far as it came.
    std::string readResponse();
    void close();

private:
    /// Returns false if the connection has ended.
    bool readMore();

    int m_descriptor;
    std::string m_read;
};

/// Descriptor of a listener on a free port of loopback.
[[nodiscard]] int listenOnLoopback();
/// The port to which a listener is bound.
[[nodiscard]] std::uint16_t portOf(int descriptor);
/// Descriptor of a connection to a port of loopback; negative if none could be made.
[[nodiscard]] int connectToLoopback(std::uint16_t port);

/// A port of loopback that was free a moment ago.
[[nodiscard]] std::uint16_t freePort();

} // namespace wisteriashunt::testing

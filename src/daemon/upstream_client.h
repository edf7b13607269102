/// Talks to the back end over HTTP by libcurl, on one thread.
#pragma once

#include "endpoint/endpoint_core.h"
#include "transport/bounded_ring.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace wisteriashunt
{

/// Settings of an upstream_client.
struct upstream_client_options
{
    /// Base address of the back end, such as "http://127.0.0.1:8100".
    std::string baseUrl;
    duration connectTimeout = std::chrono::milliseconds(500);
    /// Longest answer of a plain service.
    duration serviceTimeout = std::chrono::seconds(30);
    std::size_t maxAnswerBytes = 8U << 20U;
    /// Each event of a stream must carry the identifier of its request.
    bool requireEchoedId = false;
    std::size_t ringCapacity = 65536;
    /// Takes an event of the back end. May block.
    std::function<void(endpoint_event)> deliver;
};

/// Sends each request exactly once: non-idempotent requests never share a connection that could make libcurl send them again.
class upstream_client
{
public:
    explicit upstream_client(const upstream_client_options &options);
    ~upstream_client();
    upstream_client(const upstream_client &) = delete;
    upstream_client &operator=(const upstream_client &) = delete;

    void start(const struct start &request);
    void cancel(const attempt_id &id);

    /// Says whether events must carry the identifier; takes effect for later requests.
    void requireEchoedId(bool required);

private:
    struct transfer;
    struct command
    {
        bool isCancel = false;
        attempt_id id;
        struct start request;
    };

    void run();
    void takeCommands();
    void begin(const struct start &request);
    void finish(void *easy, int code);
    void erase(const attempt_id &id);

    upstream_client_options m_options;
    std::atomic<bool> m_requireEchoedId;
    std::atomic<bool> m_isStopping{false};
    bounded_ring<command> m_commands;
    void *m_multi = nullptr;
    std::map<attempt_id, std::unique_ptr<transfer>> m_transfers;
    std::thread m_thread;
};

} // namespace wisteriashunt

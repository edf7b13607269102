/// HTTP client for the back end, built on libcurl and run on one thread.
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
    /// Base URL of the back end, such as "http://127.0.0.1:8100".
    std::string baseUrl;
    duration connectTimeout = std::chrono::milliseconds(500);
    /// Timeout of a whole request, unless its answer is streamed.
    duration completeAnswerTimeout = std::chrono::seconds(30);
    /// Largest answer that is not an event stream.
    std::size_t maxAnswerBytes = 8U << 20U;
    /// Requires each event of a stream to carry the identifier of its request.
    bool requireEchoedId = false;
    std::size_t ringCapacity = 65536;
    /// Called with each event of the back end, on the client's thread. May block.
    std::function<void(endpoint_event)> deliver;
};

/// Sends non-idempotent requests at most once: each uses a connection of its own, because libcurl may send a request again on a reused one.
class upstream_client
{
public:
    explicit upstream_client(const upstream_client_options &options);
    ~upstream_client();
    upstream_client(const upstream_client &) = delete;
    upstream_client &operator=(const upstream_client &) = delete;

    void start(const struct start &request);
    /// Cancels a request. Events that were produced before the cancellation takes effect are still delivered.
    void cancel(const attempt_id &id);

    /// Sets whether each event must carry the identifier of its request. Applies to requests that start later.
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

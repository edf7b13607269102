/// A caller's connection: reads requests one after the other and writes their answers.
#pragma once

#include "http/message_reader.h"
#include "net/byte_channel.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace wisteriashunt
{

class caller_connection;

/// Receivers of what callers do.
struct caller_hooks
{
    /// A complete request. The receiver answers through the connection, now or later.
    std::function<void(const std::shared_ptr<caller_connection> &, received_request &&)> onRequest;
    /// The caller left while a request was unanswered.
    std::function<void(caller_connection &)> onDisconnected;
    /// The connection has ended; it is not used again.
    std::function<void(caller_connection &)> onClosed;
    /// A request could not be read; the connection ends after the answer.
    std::function<void(const std::shared_ptr<caller_connection> &, read_fault)> onFault;
};

/// Limits of callers' connections.
struct caller_options
{
    request_bounds bounds;
    duration headTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

/// One caller's connection.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    [[nodiscard]] static std::shared_ptr<caller_connection>
    adopt(event_loop &loop, int descriptor, const caller_options &options, const std::shared_ptr<const caller_hooks> &hooks);

    ~caller_connection();
    caller_connection(const caller_connection &) = delete;
    caller_connection &operator=(const caller_connection &) = delete;

    /// Writes a complete answer: a head without its end, and the body.
    void answer(std::string head, std::string_view body);

    /// Begins an answer of unknown length; headers as in answer().
    void beginStream(std::string head);
    void writeChunk(std::string_view bytes);
    void endStream();

    /// Ends the connection so that the caller sees an incomplete answer.
    void abort();

    /// Ends the connection after the answer that is being written, or now if there is none.
    void closeWhenIdle();

    /// No request has begun to arrive and none is unanswered.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] bool hasPartialRequest() const;
    [[nodiscard]] time_point lastActivity() const;
    [[nodiscard]] std::size_t pendingBytes() const;

    /// Called when all written bytes have left.
    std::function<void()> onDrained = [] {};

private:
    caller_connection(event_loop &loop, const caller_options &options, std::shared_ptr<const caller_hooks> hooks);

    void onBytes(std::string_view bytes);
    void readRequests();
    void onChannelEnd();
    void finishAnswer();
    void appendConnectionHeader(std::string &head) const;

    event_loop &m_loop;
    std::shared_ptr<const caller_hooks> m_hooks;
    std::shared_ptr<byte_channel> m_channel;
    request_reader m_reader;
    std::string m_pipelined;
    time_point m_lastActivity;
    bool m_isAnswering = false;
    bool m_closesAfterAnswer = false;
    bool m_isReadingRequests = false;
    bool m_isHttp10 = false;
};

/// The open connections of one listener.
class caller_set
{
public:
    using connections = std::unordered_map<caller_connection *, std::shared_ptr<caller_connection>>;

    void add(const std::shared_ptr<caller_connection> &caller);

    /// For caller_hooks::onClosed: drops the connection once the current wake-up has ended.
    void release(event_loop &loop, caller_connection &caller);

    [[nodiscard]] const connections &all() const;

private:
    connections m_connections;
};

} // namespace wisteriashunt

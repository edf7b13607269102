/// Server side of an HTTP/1.1 connection: reads one request at a time and writes its response. The client, named "caller" here, may also be a
/// readiness probe, a reader of the metrics or another entry.
#pragma once

#include "http/caller_holdings.h"
#include "http/message_reader.h"
#include "net/byte_channel.h"
#include "net/memory_ledger.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace wisteriashunt
{

class caller_connection;

/// Callbacks of caller connections.
struct caller_hooks
{
    /// A complete request has arrived. The receiver responds through the connection, at once or later.
    std::function<void(const std::shared_ptr<caller_connection> &, received_request &&)> onRequest;
    /// The caller disconnected before its request was answered.
    std::function<void(caller_connection &)> onDisconnected;
    /// The connection has closed and must not be used again.
    std::function<void(caller_connection &)> onClosed;
    /// A request could not be read. The receiver sends an error response, after which the connection closes.
    std::function<void(const std::shared_ptr<caller_connection> &, read_fault)> onFault;
    /// What has arrived has brought the ledger over its limit.
    std::function<void()> onMemoryOver = [] {};
};

/// Limits and timeouts of caller connections.
struct caller_options
{
    request_bounds bounds;
    duration headTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
    /// Counts what connections hold: requests that are not whole or wait for their turn, and answers that are not sent.
    std::shared_ptr<memory_ledger> ledger = std::make_shared<memory_ledger>();
    std::shared_ptr<linger_limit> lingers = nullptr;
    /// Size of the kernel's receive buffer; the listener's if 0.
    int receiveBufferBytes = 0;
};

/// One accepted connection.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    [[nodiscard]] static std::shared_ptr<caller_connection>
    adopt(event_loop &loop, int descriptor, const caller_options &options, const std::shared_ptr<const caller_hooks> &hooks);

    ~caller_connection();
    caller_connection(const caller_connection &) = delete;
    caller_connection &operator=(const caller_connection &) = delete;

    /// Writes a complete response. `head` is the status line and fields without the empty line that ends them; framing fields are appended.
    void answer(std::string head, std::string_view body);
    /// The same for a long body, of which no copy is made.
    void answerShared(std::string head, std::shared_ptr<const std::string> body);

    /// Begins a response in parts: chunked, or for HTTP/1.0, which has no chunks, up to the end of the connection; `head` as in answer().
    void beginStream(std::string head);
    /// Writes one part of the response body; empty data is skipped.
    void writeChunk(std::string_view bytes);
    /// Completes a response in parts.
    void endStream();

    /// Closes the connection so that the caller sees an incomplete response: once what was written is sent, or by a reset if the end of the
    /// connection would complete the response.
    void abort();

    /// Closes the connection by a reset and discards what it has not sent. Its hooks are called as if the caller had disconnected.
    void discard();

    /// Refuses the partial request: drops what has arrived of it, answers, and closes the connection. Requires hasPartialRequest().
    void refusePartialRequest(std::string head, std::string_view body);

    /// Drops the pipelined requests that are not answered yet and closes the connection after the current answer.
    void dropPipelinedRequests();

    /// Closes the connection at once. Its hooks are called as if the caller had disconnected.
    void closeNow();

    /// Closes the connection after the current response, or once pending bytes are sent if no request is being answered.
    void closeWhenIdle();

    /// True if no request is being received or answered.
    [[nodiscard]] bool isIdle() const;
    /// True if the start of a request has arrived but not all of it.
    [[nodiscard]] bool hasPartialRequest() const;
    /// When the first bytes of the partial request arrived.
    [[nodiscard]] time_point requestSince() const;
    /// When bytes last arrived or a response was last completed.
    [[nodiscard]] time_point lastActivity() const;
    /// The partial request if its head is whole, otherwise nullptr.
    [[nodiscard]] const received_request *partialRequest() const;
    [[nodiscard]] caller_holdings holdings() const;
    /// Counts anew what the connection holds.
    void updateCharge();
    /// Bytes that have not been passed to the kernel yet.
    [[nodiscard]] std::size_t pendingBytes() const;

    /// Called when all written bytes have been passed to the kernel. Cleared when the response ends.
    std::function<void()> onDrained = [] {};

private:
    caller_connection(event_loop &loop, const caller_options &options, std::shared_ptr<const caller_hooks> hooks);

    void onBytes(std::string_view bytes);
    void readRequests();
    /// Passes bytes to the reader. Returns how many it has consumed.
    std::size_t feed(std::string_view bytes);
    void onChannelEnd();
    void finishAnswer();
    void onChannelDrained();
    /// Reads the requests that wait if none is being answered.
    void continueReading();
    void appendConnectionHeader(std::string &head) const;
    void notePace();
    /// Whether the next request waits until the answers before it are sent.
    [[nodiscard]] bool hasUnreadAnswers() const;
    /// Reads on in the next wake-up, so that one caller with many requests does not keep the others waiting.
    void readRequestsLater();

    event_loop &m_loop;
    std::shared_ptr<const caller_hooks> m_hooks;
    std::shared_ptr<memory_ledger> m_ledger;
    memory_charge m_charge;
    std::shared_ptr<byte_channel> m_channel;
    request_reader m_reader;
    /// Bytes after the request that is being read or answered, from m_pipelinedBegin on.
    std::string m_pipelined;
    std::size_t m_pipelinedBegin = 0;
    timer_id m_readLater = 0;
    time_point m_requestSince;
    time_point m_lastActivity;
    /// Begin of the interval over which the pace is measured, what had arrived by then, and the pace before.
    time_point m_paceSince;
    std::size_t m_bytesBefore = 0;
    double m_pace = 0;
    bool m_isAnswering = false;
    bool m_closesAfterAnswer = false;
    bool m_isReadingRequests = false;
    bool m_isHttp10 = false;
    /// The response in parts extends to the end of the connection.
    bool m_endsWithConnection = false;
};

/// The open connections of one listener.
class caller_set
{
public:
    using connections = std::unordered_map<caller_connection *, std::shared_ptr<caller_connection>>;

    void add(const std::shared_ptr<caller_connection> &caller);

    /// Removes the connection and gives up ownership of it after the current wake-up. Meant to be called from caller_hooks::onClosed.
    void release(event_loop &loop, caller_connection &caller);

    [[nodiscard]] const connections &all() const;

private:
    connections m_connections;
};

} // namespace wisteriashunt

#include "http/caller_connection.h"

#include <algorithm>

namespace wisteriashunt
{

namespace
{

/// Bytes of pipelined requests that are buffered while a request is being answered. Reading pauses above this limit.
constexpr std::size_t maxPipelinedBytes = 16 * 1024;

/// Bytes of answers that are not sent above which the caller's next request waits.
constexpr std::size_t maxUnreadBytes = 16 * 1024;

/// Requests of one connection that are begun in a wake-up.
constexpr int maxRequestsPerWakeUp = 16;

/// Time until further pipelined requests of the connection are begun.
constexpr std::chrono::milliseconds shortestPause{1};

/// What a connection takes beside its messages.
constexpr std::size_t connectionBytes = 2 * 1024;

/// Time without an acknowledgement after which a caller to which nothing is being sent is considered disconnected. Tolerates the loss of a few packets in a
/// row. An answer that is not acknowledged ends with its request, which has a time limit.
constexpr std::chrono::milliseconds callerPeerTimeout{10000};

constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

caller_connection::caller_connection(event_loop &loop, const caller_options &options, std::shared_ptr<const caller_hooks> hooks)
    : m_loop(loop)
    , m_hooks(std::move(hooks))
    , m_ledger(options.ledger)
    , m_charge(options.ledger)
    , m_reader(options.bounds)
    , m_lastActivity(loop.now())
    , m_paceSince(loop.now())
{
    m_charge.set(connectionBytes);
}

std::shared_ptr<caller_connection>
caller_connection::adopt(event_loop &loop, int descriptor, const caller_options &options, const std::shared_ptr<const caller_hooks> &hooks)
{
    std::shared_ptr<caller_connection> connection(new caller_connection(loop, options, hooks));
    const std::weak_ptr<caller_connection> weak = connection;
    connection->m_channel = byte_channel::adopt(loop,
                                                descriptor,
                                                {.peerTimeout = callerPeerTimeout, .toleratesSlowReader = true, .lingers = options.lingers},
                                                {.onBytes =
                                                     [weak](std::string_view bytes) {
                                                         if (const auto self = weak.lock()) {
                                                             self->onBytes(bytes);
                                                         }
                                                     },
                                                 .onClosed =
                                                     [weak](close_reason) {
                                                         if (const auto self = weak.lock()) {
                                                             self->onChannelEnd();
                                                         }
                                                     },
                                                 .onDrained =
                                                     [weak] {
                                                         if (const auto self = weak.lock()) {
                                                             self->onChannelDrained();
                                                         }
                                                     }});
    if (options.receiveBufferBytes > 0) {
        connection->m_channel->setReceiveBuffer(options.receiveBufferBytes);
    }
    return connection;
}

caller_connection::~caller_connection()
{
    m_loop.cancel(m_readLater);
    if (m_channel != nullptr && !m_closesAfterAnswer) {
        m_channel->close();
    }
}

void caller_connection::onBytes(std::string_view bytes)
{
    m_lastActivity = m_loop.now();
    if (m_closesAfterAnswer) {
        // No further request is read.
        return;
    }
    const auto self = shared_from_this();
    if (m_isAnswering || !m_pipelined.empty()) {
        m_pipelined.append(bytes);
    } else {
        const std::size_t consumed = feed(bytes);
        m_pipelined.assign(bytes.substr(consumed));
    }
    notePace();
    readRequests();
    if (m_channel->isOpen() && m_pipelined.size() - m_pipelinedBegin > maxPipelinedBytes) {
        m_channel->setReading(false);
    }
    updateCharge();
    if (m_ledger->isOver()) {
        m_hooks->onMemoryOver();
    }
}

void caller_connection::readRequests()
{
    // A response sent from within onRequest must not start the next request recursively.
    if (m_isReadingRequests) {
        return;
    }
    m_isReadingRequests = true;
    const auto self = shared_from_this();
    for (int requests = 0; !m_isAnswering && !m_closesAfterAnswer && m_channel->isOpen() && !hasUnreadAnswers() && m_readLater == 0;) {
        if (!m_reader.isComplete() && m_reader.fault() == read_fault::none && m_pipelinedBegin < m_pipelined.size()) {
            m_pipelinedBegin += feed(std::string_view(m_pipelined).substr(m_pipelinedBegin));
        }
        if (m_reader.fault() != read_fault::none) {
            m_isAnswering = true;
            m_closesAfterAnswer = true;
            m_hooks->onFault(self, m_reader.fault());
            break;
        }
        if (!m_reader.isComplete()) {
            if (m_reader.wantsContinue()) {
                m_reader.setContinueSent();
                m_channel->write(continueResponse);
            }
            break;
        }
        if (++requests > maxRequestsPerWakeUp) {
            readRequestsLater();
            break;
        }
        auto request = m_reader.next();
        m_isAnswering = true;
        m_isHttp10 = request.isHttp10;
        m_closesAfterAnswer = !request.keepsAlive;
        m_hooks->onRequest(self, std::move(request));
    }
    m_isReadingRequests = false;
    if (m_closesAfterAnswer || m_pipelinedBegin == m_pipelined.size()) {
        m_pipelined = std::string();
        m_pipelinedBegin = 0;
    } else if (m_pipelinedBegin >= m_pipelined.size() - m_pipelinedBegin) {
        m_pipelined.erase(0, m_pipelinedBegin);
        m_pipelinedBegin = 0;
    }
}

void caller_connection::readRequestsLater()
{
    if (m_readLater != 0) {
        return;
    }
    m_readLater = m_loop.schedule(m_loop.now() + shortestPause, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_readLater = 0;
            self->continueReading();
        }
    });
}

bool caller_connection::hasUnreadAnswers() const
{
    return m_channel->pendingBytes() > maxUnreadBytes;
}

void caller_connection::continueReading()
{
    if (m_isAnswering || !m_channel->isOpen()) {
        return;
    }
    readRequests();
    if (m_channel->isOpen() && m_pipelined.size() - m_pipelinedBegin <= maxPipelinedBytes && !hasUnreadAnswers()) {
        m_channel->setReading(true);
    }
    updateCharge();
}

void caller_connection::onChannelDrained()
{
    onDrained();
    continueReading();
}

std::size_t caller_connection::feed(std::string_view bytes)
{
    if (!m_reader.hasBegun()) {
        m_requestSince = m_loop.now();
        m_paceSince = m_loop.now();
        m_bytesBefore = 0;
        m_pace = 0;
    }
    return m_reader.feed(bytes);
}

void caller_connection::notePace()
{
    constexpr std::chrono::seconds interval{1};
    const auto elapsed = m_loop.now() - m_paceSince;
    const auto held = m_reader.partial().heldBytes();
    if (elapsed >= interval && held > m_bytesBefore) {
        m_pace = static_cast<double>(held - m_bytesBefore) / toSeconds(elapsed);
        m_paceSince = m_loop.now();
        m_bytesBefore = held;
    }
}

caller_holdings caller_connection::holdings() const
{
    caller_holdings held{.pipelinedBytes = m_pipelined.size() - m_pipelinedBegin};
    if (hasPartialRequest()) {
        constexpr std::chrono::milliseconds shortest{50};
        held.partialBytes = m_reader.partial().heldBytes();
        held.missingBytes = m_reader.missingBytes();
        held.quiet = m_loop.now() - m_lastActivity;
        const auto elapsed = std::max<duration>(m_loop.now() - m_paceSince, shortest);
        const auto recent = held.partialBytes > m_bytesBefore ? static_cast<double>(held.partialBytes - m_bytesBefore) / toSeconds(elapsed) : 0;
        held.bytesPerSecond = std::max(m_pace, recent);
    }
    return held;
}

void caller_connection::updateCharge()
{
    m_charge.set(connectionBytes + m_reader.partial().heldBytes() + m_pipelined.capacity() + m_channel->pendingBytes());
}

void caller_connection::appendConnectionHeader(std::string &head) const
{
    if (m_closesAfterAnswer) {
        appendHeader(head, "Connection", "close");
    } else if (m_isHttp10) {
        appendHeader(head, "Connection", "keep-alive");
    }
}

void caller_connection::answer(std::string head, std::string_view body)
{
    appendHeader(head, "Content-Length", std::to_string(body.size()));
    appendConnectionHeader(head);
    head.append("\r\n").append(body);
    m_channel->write(head);
    finishAnswer();
}

void caller_connection::answerShared(std::string head, std::shared_ptr<const std::string> body)
{
    appendHeader(head, "Content-Length", std::to_string(body->size()));
    appendConnectionHeader(head);
    head.append("\r\n");
    m_channel->write(head);
    m_channel->writeShared(std::move(body));
    finishAnswer();
}

void caller_connection::beginStream(std::string head)
{
    if (m_isHttp10) {
        m_endsWithConnection = true;
        m_closesAfterAnswer = true;
    } else {
        appendHeader(head, "Transfer-Encoding", "chunked");
    }
    appendConnectionHeader(head);
    head.append("\r\n");
    m_channel->write(head);
}

void caller_connection::writeChunk(std::string_view bytes)
{
    if (m_endsWithConnection) {
        m_channel->write(bytes);
    } else {
        std::string chunk;
        chunk.reserve(bytes.size() + 16);
        appendChunk(chunk, bytes);
        m_channel->write(chunk);
    }
    updateCharge();
}

void caller_connection::endStream()
{
    if (!m_endsWithConnection) {
        m_channel->write(lastChunk);
    }
    finishAnswer();
}

void caller_connection::finishAnswer()
{
    m_isAnswering = false;
    m_lastActivity = m_loop.now();
    onDrained = [] {};
    if (m_closesAfterAnswer) {
        m_channel->closeAfterFlush();
        updateCharge();
        return;
    }
    continueReading();
}

void caller_connection::refusePartialRequest(std::string head, std::string_view body)
{
    m_reader.reset();
    m_pipelined = std::string();
    m_pipelinedBegin = 0;
    m_isAnswering = true;
    m_closesAfterAnswer = true;
    answer(std::move(head), body);
}

void caller_connection::dropPipelinedRequests()
{
    m_pipelined = std::string();
    m_pipelinedBegin = 0;
    closeWhenIdle();
    updateCharge();
}

void caller_connection::abort()
{
    m_isAnswering = false;
    m_closesAfterAnswer = true;
    if (!m_endsWithConnection) {
        m_channel->closeAfterFlush();
        return;
    }
    const auto self = shared_from_this();
    m_channel->reset();
    m_hooks->onClosed(*this);
}

void caller_connection::discard()
{
    m_channel->reset();
    onChannelEnd();
}

void caller_connection::closeNow()
{
    m_channel->close();
    onChannelEnd();
}

void caller_connection::closeWhenIdle()
{
    if (m_isAnswering) {
        m_closesAfterAnswer = true;
        return;
    }
    m_closesAfterAnswer = true;
    m_channel->closeAfterFlush();
}

bool caller_connection::isIdle() const
{
    return !m_isAnswering && !m_reader.hasBegun();
}

bool caller_connection::hasPartialRequest() const
{
    return !m_isAnswering && m_reader.hasBegun();
}

const received_request *caller_connection::partialRequest() const
{
    return hasPartialRequest() && m_reader.hasHead() ? &m_reader.partial() : nullptr;
}

time_point caller_connection::requestSince() const
{
    return m_requestSince;
}

time_point caller_connection::lastActivity() const
{
    return m_lastActivity;
}

std::size_t caller_connection::pendingBytes() const
{
    return m_channel->pendingBytes();
}

void caller_connection::onChannelEnd()
{
    const auto self = shared_from_this();
    if (m_isAnswering) {
        m_isAnswering = false;
        m_hooks->onDisconnected(*this);
    }
    m_hooks->onClosed(*this);
}

void caller_set::add(const std::shared_ptr<caller_connection> &caller)
{
    m_connections.emplace(caller.get(), caller);
}

void caller_set::release(event_loop &loop, caller_connection &caller)
{
    const auto extracted = m_connections.extract(&caller);
    if (!extracted.empty()) {
        loop.retire(extracted.mapped());
    }
}

const caller_set::connections &caller_set::all() const
{
    return m_connections;
}

} // namespace wisteriashunt

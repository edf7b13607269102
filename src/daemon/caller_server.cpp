#include "daemon/caller_server.h"

#include <absl/strings/ascii.h>
#include <arpa/inet.h>
#include <cmath>
#include <cstring>
#include <microhttpd.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <stdexcept>
#include <unistd.h>
#include <vector>

namespace wisteriashunt
{

namespace
{

constexpr std::size_t streamBlockBytes = 16384;
constexpr const char *eventStreamType = "text/event-stream";
/// Memory of one connection; limits its request line and headers.
constexpr std::size_t connectionMemoryBytes = 32768;

/// One HTTP request and its answer.
struct exchange
{
    enum class stage {
        collecting,
        waiting,
        answered,
        streaming,
        ended,
        aborted,
    };

    absl::Mutex mutex;
    std::uint64_t id = 0;
    MHD_Connection *connection = nullptr;
    http_request request;
    bool isTooLarge ABSL_GUARDED_BY(mutex) = false;
    stage state ABSL_GUARDED_BY(mutex) = stage::collecting;
    bool isSuspended ABSL_GUARDED_BY(mutex) = false;
    bool hasStreamed ABSL_GUARDED_BY(mutex) = false;
    int status ABSL_GUARDED_BY(mutex) = 0;
    std::string contentType ABSL_GUARDED_BY(mutex);
    long retryAfterSeconds ABSL_GUARDED_BY(mutex) = 0;
    std::string data ABSL_GUARDED_BY(mutex);

    void resumeLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        if (isSuspended) {
            isSuspended = false;
            MHD_resume_connection(connection);
        }
    }
};

using exchange_pointer = std::shared_ptr<exchange>;

MHD_Result collectHeader(void *target, MHD_ValueKind, const char *key, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(target))[absl::AsciiStrToLower(key)] = value == nullptr ? "" : value;
    return MHD_YES;
}

ssize_t readAnswer(void *context, std::uint64_t, char *buffer, std::size_t size)
{
    auto &current = **static_cast<exchange_pointer *>(context);
    const absl::MutexLock lock(&current.mutex);
    if (!current.data.empty()) {
        const std::size_t count = std::min(size, current.data.size());
        std::memcpy(buffer, current.data.data(), count);
        current.data.erase(0, count);
        return static_cast<ssize_t>(count);
    }
    if (current.state == exchange::stage::ended) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (current.state == exchange::stage::aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    current.isSuspended = true;
    MHD_suspend_connection(current.connection);
    return 0;
}

void freeReader(void *context)
{
    delete static_cast<exchange_pointer *>(context);
}

std::string errorBody(error_kind kind, const std::string &detail)
{
    const error_answer &answer = answerFor(kind);
    const nlohmann::json body{{"error",
                               {{"type", answer.name},
                                {"message", detail.empty() ? std::string(answer.defaultMessage) : detail},
                                {"ran", answer.runState == run_state::not_run ? "no" : "maybe"}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

struct caller_server::implementation
{
    caller_server_options options;
    MHD_Daemon *daemon = nullptr;
    MHD_socket listenSocket = MHD_INVALID_SOCKET;
    mutable absl::Mutex mutex;
    std::uint64_t nextId ABSL_GUARDED_BY(mutex) = 1;
    std::unordered_map<std::uint64_t, exchange_pointer> exchanges ABSL_GUARDED_BY(mutex);

    exchange_pointer find(std::uint64_t caller) const
    {
        const absl::MutexLock lock(&mutex);
        const auto found = exchanges.find(caller);
        return found == exchanges.end() ? nullptr : found->second;
    }

    static MHD_Result onRequest(void *context,
                                MHD_Connection *connection,
                                const char *url,
                                const char *method,
                                const char *,
                                const char *uploadData,
                                std::size_t *uploadSize,
                                void **requestContext)
    {
        auto &self = *static_cast<implementation *>(context);
        if (*requestContext == nullptr) {
            auto newExchange = std::make_shared<exchange>();
            newExchange->connection = connection;
            newExchange->request.method = method;
            newExchange->request.path = url;
            *requestContext = new exchange_pointer(newExchange);
            return MHD_YES;
        }
        auto &current = **static_cast<exchange_pointer *>(*requestContext);
        if (*uploadSize > 0) {
            const absl::MutexLock lock(&current.mutex);
            current.isTooLarge = current.isTooLarge || current.request.body.size() + *uploadSize > self.options.maxBodyBytes;
            if (!current.isTooLarge) {
                current.request.body.append(uploadData, *uploadSize);
            }
            *uploadSize = 0;
            return MHD_YES;
        }
        return self.onRequestComplete(current, *static_cast<exchange_pointer *>(*requestContext));
    }

    MHD_Result onRequestComplete(exchange &current, const exchange_pointer &pointer)
    {
        {
            const absl::MutexLock lock(&current.mutex);
            if (current.state == exchange::stage::aborted && !current.hasStreamed) {
                return MHD_NO;
            }
            if (current.state == exchange::stage::answered || current.state == exchange::stage::streaming || current.state == exchange::stage::ended
                || current.state == exchange::stage::aborted) {
                return queueAnswer(current, pointer);
            }
            if (current.state == exchange::stage::waiting) {
                return MHD_YES;
            }
            if (current.isTooLarge) {
                setError(current, error_kind::body_too_large, "", duration::zero());
                return queueAnswer(current, pointer);
            }
            MHD_get_connection_values(current.connection, MHD_HEADER_KIND, collectHeader, &current.request.headers);
            current.state = exchange::stage::waiting;
            current.isSuspended = true;
            MHD_suspend_connection(current.connection);
            const absl::MutexLock mapLock(&mutex);
            current.id = nextId++;
            exchanges.emplace(current.id, pointer);
        }
        options.onRequest(current.id, std::move(current.request));
        return MHD_YES;
    }

    static void setError(exchange &current, error_kind kind, const std::string &detail, duration retryAfter) ABSL_EXCLUSIVE_LOCKS_REQUIRED(current.mutex)
    {
        const error_answer &answer = answerFor(kind);
        current.state = exchange::stage::answered;
        current.status = answer.httpStatus;
        current.contentType = "application/json";
        current.data = errorBody(kind, detail);
        current.retryAfterSeconds = answer.retryLater ? std::max(1L, std::lround(std::ceil(toSeconds(retryAfter)))) : 0;
    }

    static MHD_Result queueAnswer(exchange &current, const exchange_pointer &pointer) ABSL_EXCLUSIVE_LOCKS_REQUIRED(current.mutex)
    {
        const bool isComplete = current.state == exchange::stage::answered;
        MHD_Response *response = isComplete
            ? MHD_create_response_from_buffer(current.data.size(), current.data.data(), MHD_RESPMEM_MUST_COPY)
            : MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, readAnswer, new exchange_pointer(pointer), freeReader);
        MHD_add_response_header(response, "Content-Type", isComplete ? current.contentType.c_str() : eventStreamType);
        if (current.retryAfterSeconds > 0) {
            MHD_add_response_header(response, "Retry-After", std::to_string(current.retryAfterSeconds).c_str());
        }
        const auto status = static_cast<unsigned int>(isComplete ? current.status : 200);
        const MHD_Result queued = MHD_queue_response(current.connection, status, response);
        MHD_destroy_response(response);
        return queued;
    }

    static void onCompleted(void *context, MHD_Connection *, void **requestContext, MHD_RequestTerminationCode)
    {
        auto &self = *static_cast<implementation *>(context);
        auto *pointer = static_cast<exchange_pointer *>(*requestContext);
        if (pointer == nullptr) {
            return;
        }
        *requestContext = nullptr;
        exchange &current = **pointer;
        bool hasFinalAnswer = false;
        {
            const absl::MutexLock lock(&current.mutex);
            hasFinalAnswer = current.state != exchange::stage::waiting && current.state != exchange::stage::streaming;
            current.connection = nullptr;
            current.isSuspended = false;
        }
        bool isKnown = false;
        {
            const absl::MutexLock lock(&self.mutex);
            isKnown = self.exchanges.erase(current.id) > 0;
        }
        if (isKnown && !hasFinalAnswer) {
            self.options.onDisconnected(current.id);
        }
        delete pointer;
    }
};

caller_server::caller_server(const caller_server_options &options)
    : m_implementation(std::make_unique<implementation>())
{
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(static_cast<std::uint16_t>(options.port));
    inet_pton(AF_INET, options.address.c_str(), &socketAddress.sin_addr);
    m_implementation->options = options;
    m_implementation->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                                                static_cast<std::uint16_t>(options.port),
                                                nullptr,
                                                nullptr,
                                                &implementation::onRequest,
                                                m_implementation.get(),
                                                MHD_OPTION_SOCK_ADDR,
                                                &socketAddress,
                                                MHD_OPTION_THREAD_POOL_SIZE,
                                                options.threads,
                                                MHD_OPTION_CONNECTION_LIMIT,
                                                options.maxConnections,
                                                MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                                connectionMemoryBytes,
                                                MHD_OPTION_CONNECTION_TIMEOUT,
                                                options.idleSeconds,
                                                MHD_OPTION_NOTIFY_COMPLETED,
                                                &implementation::onCompleted,
                                                m_implementation.get(),
                                                MHD_OPTION_END);
    if (m_implementation->daemon == nullptr) {
        throw std::runtime_error("cannot listen for callers on " + options.address + ":" + std::to_string(options.port));
    }
}

caller_server::~caller_server()
{
    // libmicrohttpd requires that no connection is suspended when it stops.
    std::vector<exchange_pointer> open;
    {
        const absl::MutexLock lock(&m_implementation->mutex);
        for (const auto &[id, pointer] : m_implementation->exchanges) {
            open.push_back(pointer);
        }
    }
    for (const auto &pointer : open) {
        answerAborted(pointer->id);
    }
    MHD_stop_daemon(m_implementation->daemon);
    if (m_implementation->listenSocket != MHD_INVALID_SOCKET) {
        ::close(m_implementation->listenSocket);
    }
}

void caller_server::answerComplete(std::uint64_t caller, int status, const std::string &contentType, const std::string &body)
{
    const exchange_pointer current = m_implementation->find(caller);
    if (!current) {
        return;
    }
    const absl::MutexLock lock(&current->mutex);
    current->state = exchange::stage::answered;
    current->status = status;
    current->contentType = contentType;
    current->data = body;
    current->resumeLocked();
}

void caller_server::answerError(std::uint64_t caller, error_kind kind, const std::string &detail, duration retryAfter)
{
    const exchange_pointer current = m_implementation->find(caller);
    if (!current) {
        return;
    }
    const absl::MutexLock lock(&current->mutex);
    implementation::setError(*current, kind, detail, retryAfter);
    current->resumeLocked();
}

void caller_server::answerChunk(std::uint64_t caller, const std::string &data)
{
    const exchange_pointer current = m_implementation->find(caller);
    if (!current) {
        return;
    }
    const absl::MutexLock lock(&current->mutex);
    if (current->state == exchange::stage::aborted) {
        return;
    }
    current->state = exchange::stage::streaming;
    current->hasStreamed = true;
    current->data.append(data);
    if (current->data.size() > m_implementation->options.maxBacklogBytes) {
        current->state = exchange::stage::aborted;
        current->data.clear();
    }
    current->resumeLocked();
}

void caller_server::answerEnd(std::uint64_t caller)
{
    const exchange_pointer current = m_implementation->find(caller);
    if (!current) {
        return;
    }
    const absl::MutexLock lock(&current->mutex);
    if (current->state != exchange::stage::aborted) {
        current->state = exchange::stage::ended;
    }
    current->resumeLocked();
}

void caller_server::answerAborted(std::uint64_t caller)
{
    const exchange_pointer current = m_implementation->find(caller);
    if (!current) {
        return;
    }
    const absl::MutexLock lock(&current->mutex);
    current->state = exchange::stage::aborted;
    current->resumeLocked();
}

void caller_server::detectDisconnects()
{
    std::vector<exchange_pointer> exchanges;
    std::vector<std::uint64_t> disconnected;
    {
        const absl::MutexLock lock(&m_implementation->mutex);
        for (const auto &[id, pointer] : m_implementation->exchanges) {
            exchanges.push_back(pointer);
        }
    }
    for (const auto &current : exchanges) {
        // libmicrohttpd does not poll a suspended connection, so one that its caller closed would stay open forever.
        const absl::MutexLock lock(&current->mutex);
        if (!current->isSuspended || current->connection == nullptr) {
            continue;
        }
        const MHD_ConnectionInfo *info = MHD_get_connection_info(current->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        pollfd watched{.fd = info->connect_fd, .events = POLLRDHUP, .revents = 0};
        if (poll(&watched, 1, 0) > 0 && (watched.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
            disconnected.push_back(current->id);
            current->state = exchange::stage::aborted;
            current->resumeLocked();
        }
    }
    // Called without a lock, because the receiver may be blocked on an exchange that it answers.
    for (const std::uint64_t caller : disconnected) {
        m_implementation->options.onDisconnected(caller);
    }
}

void caller_server::stopAccepting()
{
    if (m_implementation->listenSocket == MHD_INVALID_SOCKET) {
        m_implementation->listenSocket = MHD_quiesce_daemon(m_implementation->daemon);
    }
}

std::size_t caller_server::openExchanges() const
{
    const absl::MutexLock lock(&m_implementation->mutex);
    return m_implementation->exchanges.size();
}

} // namespace wisteriashunt

#include "transport/http_server.h"

#include <absl/strings/ascii.h>
#include <arpa/inet.h>
#include <cstring>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdexcept>

namespace wisteriashunt
{

namespace
{

constexpr std::size_t streamBlockBytes = 16384;
/// The connection of a request with a larger body is closed.
constexpr std::size_t maxBodyBytes = 64U << 20U;
constexpr unsigned int maxConnections = 2000;

struct stream_state
{
    std::function<std::optional<std::string>()> next;
    std::string pending;
};

MHD_Result collectQuery(void *target, MHD_ValueKind, const char *key, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(target))[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

MHD_Result collectHeader(void *target, MHD_ValueKind, const char *key, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(target))[absl::AsciiStrToLower(key)] = value == nullptr ? "" : value;
    return MHD_YES;
}

ssize_t readStream(void *context, std::uint64_t, char *buffer, std::size_t size)
{
    auto *state = static_cast<stream_state *>(context);
    if (state->pending.empty()) {
        auto part = state->next();
        if (!part) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        if (part->empty()) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        state->pending = std::move(*part);
    }
    const std::size_t count = std::min(size, state->pending.size());
    std::memcpy(buffer, state->pending.data(), count);
    state->pending.erase(0, count);
    return static_cast<ssize_t>(count);
}

void freeStream(void *context)
{
    delete static_cast<stream_state *>(context);
}

MHD_Response *makeResponse(const server_reply &reply)
{
    if (reply.stream) {
        auto *state = new stream_state{.next = reply.stream, .pending = {}};
        return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, readStream, state, freeStream);
    }
    // libmicrohttpd must copy the body, because the reply is destroyed before it is sent.
    return MHD_create_response_from_buffer(reply.body.size(), const_cast<char *>(reply.body.data()), MHD_RESPMEM_MUST_COPY);
}

} // namespace

struct http_server::implementation
{
    handler serve;
    MHD_Daemon *daemon = nullptr;

    static MHD_Result onRequest(void *context,
                                MHD_Connection *connection,
                                const char *url,
                                const char *method,
                                const char *,
                                const char *uploadData,
                                std::size_t *uploadSize,
                                void **requestContext)
    {
        if (*requestContext == nullptr) {
            *requestContext = new server_request{.method = method, .path = url, .query = {}, .headers = {}, .body = {}};
            return MHD_YES;
        }
        auto *request = static_cast<server_request *>(*requestContext);
        if (*uploadSize > 0) {
            if (request->body.size() + *uploadSize > maxBodyBytes) {
                return MHD_NO;
            }
            request->body.append(uploadData, *uploadSize);
            *uploadSize = 0;
            return MHD_YES;
        }
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collectQuery, &request->query);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, collectHeader, &request->headers);
        const server_reply reply = static_cast<implementation *>(context)->serve(*request);
        if (reply.closeWithoutReply) {
            return MHD_NO;
        }
        MHD_Response *response = makeResponse(reply);
        MHD_add_response_header(response, "Content-Type", reply.contentType.c_str());
        const MHD_Result queued = MHD_queue_response(connection, static_cast<unsigned int>(reply.status), response);
        MHD_destroy_response(response);
        return queued;
    }

    static void onCompleted(void *, MHD_Connection *, void **requestContext, MHD_RequestTerminationCode)
    {
        delete static_cast<server_request *>(*requestContext);
        *requestContext = nullptr;
    }
};

http_server::http_server(const std::string &address, int port, handler serve)
    : m_implementation(std::make_unique<implementation>())
{
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &socketAddress.sin_addr);
    m_implementation->serve = std::move(serve);
    m_implementation->daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL,
                                                static_cast<std::uint16_t>(port),
                                                nullptr,
                                                nullptr,
                                                &implementation::onRequest,
                                                m_implementation.get(),
                                                MHD_OPTION_SOCK_ADDR,
                                                &socketAddress,
                                                MHD_OPTION_CONNECTION_LIMIT,
                                                maxConnections,
                                                MHD_OPTION_NOTIFY_COMPLETED,
                                                &implementation::onCompleted,
                                                nullptr,
                                                MHD_OPTION_END);
    if (m_implementation->daemon == nullptr) {
        throw std::runtime_error("cannot listen for HTTP requests on " + address + ":" + std::to_string(port));
    }
}

http_server::~http_server()
{
    MHD_stop_daemon(m_implementation->daemon);
}

} // namespace wisteriashunt

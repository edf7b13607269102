#include "http/bounded_client.h"

#include <utility>

namespace wisteriashunt
{

bounded_client::bounded_client(event_loop &loop, const bounded_client_options &options)
    : m_loop(loop)
    , m_options(options)
{
}

bounded_client::~bounded_client()
{
    close();
}

void bounded_client::call(std::string request, duration timeout, hooks callbacks)
{
    const bool isUsable =
        m_connection != nullptr && m_connection->isIdle() && (!m_options.maxIdle || m_loop.now() - m_connection->idleSince() <= *m_options.maxIdle);
    if (!isUsable) {
        close();
        m_connection = upstream_connection::open(m_loop, m_options.server, {.peerTimeout = m_options.peerTimeout, .connectTimeout = m_options.connectTimeout});
    }
    auto maySend = callbacks.maySend;
    m_hooks = std::move(callbacks);
    m_body.clear();
    m_timeout = m_loop.schedule(m_loop.now() + timeout, [this] { fail({.reason = "timeout", .mayHaveArrived = m_connection->isConnected()}); });
    m_connection->send(
        std::move(request),
        {.maySend = std::move(maySend),
         .onHead =
             [this](http_response_head &received) {
                 m_head = received;
                 return true;
             },
         .onBody =
             [this](std::string_view bytes) {
                 m_body.append(bytes);
                 if (m_body.size() > m_options.maxAnswerBytes) {
                     fail({.reason = "answer_too_large"});
                 }
             },
         .onComplete =
             [this] {
                 const auto ended = endCall();
                 const auto head = std::move(m_head);
                 const auto body = std::move(m_body);
                 ended.onAnswer(head, body);
             },
         .onFailure =
             [this](exchange_failure failure, close_reason end) {
                 fail({.reason = std::string(toString(failure)) + '/' + std::string(toString(end)), .mayHaveArrived = failure != exchange_failure::never_sent});
             }});
}

bool bounded_client::isBusy() const
{
    return m_hooks.has_value();
}

void bounded_client::close()
{
    if (isBusy()) {
        static_cast<void>(endCall());
    }
    if (m_connection != nullptr) {
        m_connection->close();
        m_loop.retire(std::exchange(m_connection, nullptr));
    }
}

void bounded_client::fail(const failed_call &failed)
{
    const auto ended = endCall();
    close();
    ended.onFailure(failed);
}

bounded_client::hooks bounded_client::endCall()
{
    m_loop.cancel(m_timeout);
    auto ended = std::exchange(m_hooks, std::nullopt);
    return std::move(*ended);
}

} // namespace wisteriashunt

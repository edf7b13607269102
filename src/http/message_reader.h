/// Incremental readers of HTTP/1.1 messages on top of the http-parser library.
#pragma once

#include "http/message.h"

#include <functional>
#include <http_parser.h>

namespace wisteriashunt
{

/// Why a message could not be read.
enum class read_fault {
    none,
    malformed,
    head_too_large,
    body_too_large,
};

/// Bounds on what a request may send.
struct request_bounds
{
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
};

/// Reads one request at a time. After a complete request it stops until next() is called, so that pipelined bytes wait.
class request_reader
{
public:
    explicit request_reader(const request_bounds &bounds);
    request_reader(const request_reader &) = delete;
    request_reader &operator=(const request_reader &) = delete;

    /// Reads until the request is complete. Returns the number of bytes taken.
    std::size_t feed(std::string_view bytes);

    [[nodiscard]] bool isComplete() const;
    [[nodiscard]] read_fault fault() const;
    /// A request has begun to arrive.
    [[nodiscard]] bool hasBegun() const;
    /// The head is complete and the caller waits for "100 Continue" before it sends the body.
    [[nodiscard]] bool wantsContinue() const;
    void setContinueSent();

    /// Hands out the complete request and gets ready for the next one.
    [[nodiscard]] received_request next();

    void setBounds(const request_bounds &bounds);

private:
    static request_reader &self(http_parser *parser);
    static int onUrl(http_parser *parser, const char *at, std::size_t length);
    static int onField(http_parser *parser, const char *at, std::size_t length);
    static int onValue(http_parser *parser, const char *at, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t length);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();

    void reset();
    bool countHead(std::size_t length);

    http_parser m_parser{};
    request_bounds m_bounds;
    received_request m_request;
    std::size_t m_headBytes = 0;
    read_fault m_fault = read_fault::none;
    bool m_lastWasValue = true;
    bool m_hasBegun = false;
    bool m_isComplete = false;
    bool m_wantsContinue = false;
};

/// Receivers of the parts of a response.
struct response_hooks
{
    std::function<void(http_response_head &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete;
};

/// Reads responses one after the other; interim (1xx) responses are skipped.
class response_reader
{
public:
    explicit response_reader(response_hooks hooks);
    response_reader(const response_reader &) = delete;
    response_reader &operator=(const response_reader &) = delete;

    /// Returns the number of bytes taken; fewer than given if a response ended or the bytes are no response (see isMalformed()).
    std::size_t feed(std::string_view bytes);

    /// The connection was closed in order. Completes a response whose length is given by the end of the connection.
    void feedEnd();

    [[nodiscard]] bool isMalformed() const;
    /// Gets ready for the next response.
    void reset();

private:
    static response_reader &self(http_parser *parser);
    static int onStatus(http_parser *parser, const char *at, std::size_t length);
    static int onField(http_parser *parser, const char *at, std::size_t length);
    static int onValue(http_parser *parser, const char *at, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t length);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();

    response_hooks m_hooks;
    http_parser m_parser{};
    http_response_head m_head;
    std::size_t m_headBytes = 0;
    bool m_lastWasValue = true;
    bool m_isMalformed = false;
    bool m_isInterim = false;
    bool m_isComplete = false;
};

} // namespace wisteriashunt

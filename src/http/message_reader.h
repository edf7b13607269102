/// Incremental HTTP/1.1 readers based on the http-parser library.
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

/// Size limits of a request. The head counts the target and the names and values of the fields.
struct request_bounds
{
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
};

/// Reads one request at a time. After a complete request it consumes no bytes until next() is called, so that pipelined requests stay
/// with the caller of feed().
class request_reader
{
public:
    explicit request_reader(const request_bounds &bounds);
    request_reader(const request_reader &) = delete;
    request_reader &operator=(const request_reader &) = delete;

    /// Reads until the request is complete or invalid (see fault()). Returns the number of bytes consumed.
    std::size_t feed(std::string_view bytes);

    [[nodiscard]] bool isComplete() const;
    [[nodiscard]] read_fault fault() const;
    /// True if part of a request has arrived.
    [[nodiscard]] bool hasBegun() const;
    /// True if the head of the request has arrived.
    [[nodiscard]] bool hasHead() const;
    /// The request as far as it has arrived.
    [[nodiscard]] const received_request &partial() const;
    /// Bytes of the body that are still to come; of a chunked one, an estimate.
    [[nodiscard]] std::size_t missingBytes() const;
    /// Forgets the request as far as it has arrived, and prepares for the next one.
    void reset();
    /// True if the head is complete and the caller waits for "100 Continue" before it sends the body.
    [[nodiscard]] bool wantsContinue() const;
    void setContinueSent();

    /// Returns the complete request and prepares for the next one.
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

    bool countHead(std::size_t length);

    http_parser m_parser{};
    request_bounds m_bounds;
    received_request m_request;
    std::size_t m_headBytes = 0;
    /// Bytes since the start of the head, or since the last ones of the body.
    std::size_t m_unframedBytes = 0;
    read_fault m_fault = read_fault::none;
    bool m_hasBegun = false;
    bool m_isHeadComplete = false;
    bool m_isComplete = false;
    bool m_wantsContinue = false;
};

/// Callbacks for the parts of a response.
struct response_hooks
{
    std::function<void(http_response_head &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onComplete;
};

/// Reads one response at a time and skips interim (1xx) responses.
class response_reader
{
public:
    explicit response_reader(response_hooks hooks);
    response_reader(const response_reader &) = delete;
    response_reader &operator=(const response_reader &) = delete;

    /// Returns the number of bytes consumed: fewer than given if the response ended or the bytes are not a valid response (see
    /// isMalformed()).
    std::size_t feed(std::string_view bytes);

    /// Reports that the peer closed the connection. Completes a response whose body extends to the end of the connection.
    void feedEnd();

    [[nodiscard]] bool isMalformed() const;
    /// Prepares for the next response.
    void reset();

private:
    static response_reader &self(http_parser *parser);
    static bool isUsable(const http_parser &parser);
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
    /// Bytes since the end of the last response, or since the last ones of the body.
    std::size_t m_unframedBytes = 0;
    bool m_isMalformed = false;
    bool m_isInterim = false;
    bool m_isHeadComplete = false;
    bool m_isComplete = false;
};

} // namespace wisteriashunt

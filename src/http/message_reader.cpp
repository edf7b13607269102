#include "http/message_reader.h"

#include <algorithm>
#include <cctype>

namespace wisteriashunt
{

namespace
{

/// Limit on what comes before the body of a response: blank lines, interim responses and the head. Endpoints send well under 1 kB.
constexpr std::size_t maxResponseHeadBytes = 64 * 1024;

/// Limit on bytes in a row that frame a chunked body and carry none of it, such as the extension of a chunk or trailers.
constexpr std::size_t maxFramingBytes = 16 * 1024;

/// The separators of fields and blank lines may add as much to a request's head as its limit, which does not count them, and this.
constexpr std::size_t headSeparatorBytes = 4 * 1024;

/// Raises the library's limit on heads to 16 MiB, so that the configured limit applies first.
const bool libraryLimitRaised = [] {
    http_parser_set_max_header_size(16 * 1024 * 1024);
    return true;
}();

/// Checks for a token (RFC 9110, 5.6.2). The library accepts further characters in field names.
bool isToken(std::string_view name)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](unsigned char c) {
        return (c < 0x80 && std::isalnum(c) != 0) || symbols.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

bool areValidHeaders(const header_list &headers)
{
    return std::all_of(headers.begin(), headers.end(), [](const header_field &field) { return isToken(field.name) && isFieldValue(field.value); });
}

/// True if more than one field has this name. Such fields could let two recipients disagree on where the message ends.
bool hasDuplicates(const header_list &headers, std::string_view name)
{
    return std::count_if(headers.begin(), headers.end(), [name](const header_field &field) { return equalsIgnoreCase(field.name, name); }) > 1;
}

/// True if Transfer-Encoding is absent or exactly "chunked".
bool hasSupportedTransferCoding(const header_list &headers)
{
    const auto coding = findHeader(headers, "transfer-encoding");
    return !coding || equalsIgnoreCase(trim(*coding), "chunked");
}

/// Checks for a target that begins with a slash and has no blanks or control characters (RFC 9112, 3.2.1).
bool isOriginForm(std::string_view target)
{
    return !target.empty() && target.front() == '/' && std::all_of(target.begin(), target.end(), [](unsigned char c) { return c > 0x20 && c != 0x7f; });
}

/// Returns how the body of a response ends (RFC 9112, 6.3).
body_framing framingOf(const http_parser &parser)
{
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    if (parser.status_code == noContent || parser.status_code == notModified) {
        return body_framing::none;
    }
    if ((parser.flags & F_CHUNKED) != 0) {
        return body_framing::chunks;
    }
    return (parser.flags & F_CONTENTLENGTH) != 0 ? body_framing::length : body_framing::connection_end;
}

/// The callbacks that request and response readers have in common.
http_parser_settings callbackTable(http_data_cb onField, http_data_cb onValue, http_cb onHeaders, http_data_cb onBody, http_cb onComplete)
{
    http_parser_settings table{};
    table.on_header_field = onField;
    table.on_header_value = onValue;
    table.on_headers_complete = onHeaders;
    table.on_body = onBody;
    table.on_message_complete = onComplete;
    return table;
}

} // namespace

request_reader::request_reader(const request_bounds &bounds)
    : m_bounds(bounds)
{
    reset();
}

void request_reader::reset()
{
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
    m_request = {};
    m_headBytes = 0;
    m_unframedBytes = 0;
    m_fault = read_fault::none;
    m_hasBegun = false;
    m_isHeadComplete = false;
    m_isComplete = false;
    m_wantsContinue = false;
}

request_reader &request_reader::self(http_parser *parser)
{
    return *static_cast<request_reader *>(parser->data);
}

bool request_reader::countHead(std::size_t length)
{
    m_headBytes += length;
    if (m_headBytes > m_bounds.headBytes) {
        m_fault = read_fault::head_too_large;
        return false;
    }
    return true;
}

int request_reader::onUrl(http_parser *parser, const char *at, std::size_t length)
{
    auto &reader = self(parser);
    reader.m_request.target.append(at, length);
    return reader.countHead(length) ? 0 : 1;
}

int request_reader::onField(http_parser *parser, const char *at, std::size_t length)
{
    auto &reader = self(parser);
    // Trailers are counted and not kept: as fields of the head they could change how the request is treated (RFC 9110, 6.5.1).
    if (!reader.m_isHeadComplete) {
        reader.m_request.headers.appendToName(std::string_view(at, length));
    }
    return reader.countHead(length) ? 0 : 1;
}

int request_reader::onValue(http_parser *parser, const char *at, std::size_t length)
{
    auto &reader = self(parser);
    if (!reader.m_isHeadComplete) {
        reader.m_request.headers.appendToValue(std::string_view(at, length));
    }
    return reader.countHead(length) ? 0 : 1;
}

int request_reader::onHeadersComplete(http_parser *parser)
{
    auto &reader = self(parser);
    reader.m_isHeadComplete = true;
    reader.m_unframedBytes = 0;
    auto &request = reader.m_request;
    request.headers.endFields();
    request.method = http_method_str(static_cast<http_method>(parser->method));
    request.isHttp10 = parser->http_major == 1 && parser->http_minor == 0;
    request.keepsAlive = http_should_keep_alive(parser) != 0;
    const bool isValid = areValidHeaders(request.headers) && isOriginForm(request.target) && !hasDuplicates(request.headers, "host")
        && !hasDuplicates(request.headers, "content-length") && !hasDuplicates(request.headers, "transfer-encoding")
        && hasSupportedTransferCoding(request.headers) && parser->http_major == 1 && (!request.isHttp10 || parser->uses_transfer_encoding == 0)
        && parser->upgrade == 0;
    if (!isValid) {
        reader.m_fault = read_fault::malformed;
        return -1;
    }
    const bool hasLength = (parser->flags & F_CONTENTLENGTH) != 0;
    if (hasLength && parser->content_length > reader.m_bounds.bodyBytes) {
        reader.m_fault = read_fault::body_too_large;
        return -1;
    }
    const auto expectation = findHeader(request.headers, "expect");
    reader.m_wantsContinue = expectation && equalsIgnoreCase(*expectation, "100-continue");
    return 0;
}

int request_reader::onBody(http_parser *parser, const char *at, std::size_t length)
{
    auto &reader = self(parser);
    if (reader.m_request.body.size() + length > reader.m_bounds.bodyBytes) {
        reader.m_fault = read_fault::body_too_large;
        return 1;
    }
    auto &body = reader.m_request.body;
    if (body.empty() && (parser->flags & F_CONTENTLENGTH) != 0) {
        // The parser has already subtracted these bytes from the length.
        body.reserve(length + static_cast<std::size_t>(parser->content_length));
    }
    body.append(at, length);
    reader.m_unframedBytes = 0;
    return 0;
}

int request_reader::onMessageComplete(http_parser *parser)
{
    self(parser).m_isComplete = true;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &request_reader::callbacks()
{
    static const http_parser_settings settings = [] {
        auto table = callbackTable(onField, onValue, onHeadersComplete, onBody, onMessageComplete);
        table.on_url = onUrl;
        return table;
    }();
    return settings;
}

std::size_t request_reader::feed(std::string_view bytes)
{
    if (m_isComplete || m_fault != read_fault::none || bytes.empty()) {
        return 0;
    }
    m_hasBegun = true;
    const std::size_t consumed = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error != HPE_OK && error != HPE_PAUSED && m_fault == read_fault::none) {
        m_fault = read_fault::malformed;
    }
    m_unframedBytes += consumed;
    const std::size_t limit = m_isHeadComplete ? maxFramingBytes + bytes.size() : 2 * m_bounds.headBytes + headSeparatorBytes;
    if (!m_isComplete && m_fault == read_fault::none && m_unframedBytes > limit) {
        m_fault = m_isHeadComplete ? read_fault::malformed : read_fault::head_too_large;
    }
    // A parser that pauses at the end of a message has consumed the bytes up to that end.
    return m_isComplete && error == HPE_PAUSED ? std::min(bytes.size(), consumed) : consumed;
}

bool request_reader::isComplete() const
{
    return m_isComplete;
}

read_fault request_reader::fault() const
{
    return m_fault;
}

bool request_reader::hasBegun() const
{
    return m_hasBegun;
}

bool request_reader::hasHead() const
{
    return m_isHeadComplete;
}

const received_request &request_reader::partial() const
{
    return m_request;
}

std::size_t request_reader::missingBytes() const
{
    if (m_isComplete) {
        return 0;
    }
    if (m_isHeadComplete && (m_parser.flags & F_CONTENTLENGTH) != 0) {
        // The parser counts the length down as the body arrives.
        return static_cast<std::size_t>(m_parser.content_length);
    }
    // As much again as has arrived, as for anything of unknown size.
    constexpr std::size_t leastEstimate = 1024;
    return std::max(m_request.heldBytes(), leastEstimate);
}

bool request_reader::wantsContinue() const
{
    return m_wantsContinue && !m_isComplete;
}

void request_reader::setContinueSent()
{
    m_wantsContinue = false;
}

received_request request_reader::next()
{
    received_request request = std::move(m_request);
    reset();
    return request;
}

void request_reader::setBounds(const request_bounds &bounds)
{
    m_bounds = bounds;
}

response_reader::response_reader(response_hooks hooks)
    : m_hooks(std::move(hooks))
{
    reset();
}

void response_reader::reset()
{
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
    m_head = {};
    m_headBytes = 0;
    m_unframedBytes = 0;
    m_isMalformed = false;
    m_isInterim = false;
    m_isHeadComplete = false;
    m_isComplete = false;
}

response_reader &response_reader::self(http_parser *parser)
{
    return *static_cast<response_reader *>(parser->data);
}

int response_reader::onStatus(http_parser *parser, const char *at, std::size_t length)
{
    self(parser).m_head.reason.append(at, length);
    return 0;
}

int response_reader::onField(http_parser *parser, const char *at, std::size_t length)
{
    auto &reader = self(parser);
    if (!reader.m_isHeadComplete) {
        reader.m_head.headers.appendToName(std::string_view(at, length));
    }
    reader.m_headBytes += length;
    return reader.m_headBytes > maxResponseHeadBytes ? 1 : 0;
}

int response_reader::onValue(http_parser *parser, const char *at, std::size_t length)
{
    auto &reader = self(parser);
    if (!reader.m_isHeadComplete) {
        reader.m_head.headers.appendToValue(std::string_view(at, length));
    }
    reader.m_headBytes += length;
    return reader.m_headBytes > maxResponseHeadBytes ? 1 : 0;
}

/// Whether the protocol and the status code are those of an HTTP/1 response. Nobody asks for another protocol, so none is switched to.
bool response_reader::isUsable(const http_parser &parser)
{
    constexpr unsigned int firstStatus = 100;
    constexpr unsigned int switchingProtocols = 101;
    constexpr unsigned int lastStatus = 599;
    return parser.http_major == 1 && parser.status_code >= firstStatus && parser.status_code <= lastStatus && parser.status_code != switchingProtocols;
}

int response_reader::onHeadersComplete(http_parser *parser)
{
    auto &reader = self(parser);
    if (!isUsable(*parser)) {
        return -1;
    }
    constexpr int firstFinalStatus = 200;
    reader.m_isInterim = parser->status_code < firstFinalStatus;
    if (reader.m_isInterim) {
        return 0;
    }
    reader.m_head.headers.endFields();
    if (!areValidHeaders(reader.m_head.headers) || hasDuplicates(reader.m_head.headers, "content-length")) {
        return -1;
    }
    reader.m_head.status = static_cast<int>(parser->status_code);
    reader.m_head.keepsAlive = http_should_keep_alive(parser) != 0;
    reader.m_head.framing = framingOf(*parser);
    reader.m_isHeadComplete = true;
    reader.m_unframedBytes = 0;
    reader.m_hooks.onHead(reader.m_head);
    return 0;
}

int response_reader::onBody(http_parser *parser, const char *at, std::size_t length)
{
    self(parser).m_unframedBytes = 0;
    self(parser).m_hooks.onBody(std::string_view(at, length));
    return 0;
}

int response_reader::onMessageComplete(http_parser *parser)
{
    auto &reader = self(parser);
    if (reader.m_isInterim) {
        reader.m_head = {};
        return 0;
    }
    reader.m_isComplete = true;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &response_reader::callbacks()
{
    static const http_parser_settings settings = [] {
        auto table = callbackTable(onField, onValue, onHeadersComplete, onBody, onMessageComplete);
        table.on_status = onStatus;
        return table;
    }();
    return settings;
}

std::size_t response_reader::feed(std::string_view bytes)
{
    if (m_isComplete || m_isMalformed) {
        return 0;
    }
    const std::size_t consumed = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    m_unframedBytes += consumed;
    const std::size_t limit = m_isHeadComplete ? maxFramingBytes + bytes.size() : maxResponseHeadBytes;
    m_isMalformed = !m_isComplete && (error != HPE_OK || m_parser.upgrade != 0 || m_unframedBytes > limit);
    if (m_isComplete) {
        m_hooks.onComplete();
    }
    return consumed;
}

void response_reader::feedEnd()
{
    if (m_isComplete || m_isMalformed) {
        return;
    }
    http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    if (m_isComplete) {
        m_hooks.onComplete();
    }
}

bool response_reader::isMalformed() const
{
    return m_isMalformed;
}

} // namespace wisteriashunt

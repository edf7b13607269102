#include "http/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <ctime>
#include <http_parser.h>
#include <strings.h>
#include <unordered_set>

namespace wisteriashunt
{

namespace
{

constexpr std::array<std::string_view, 9> hopByHopNames{
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"};

std::string toLower(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

} // namespace

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos ? std::string_view{} : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::string_view toString(body_framing framing)
{
    switch (framing) {
    case body_framing::none:
        return "none";
    case body_framing::length:
        return "length";
    case body_framing::chunks:
        return "chunks";
    case body_framing::connection_end:
        return "connection_end";
    }
    return "unknown";
}

header_list::const_iterator::const_iterator(std::string_view rest)
    : m_rest(rest)
{
    readField();
}

void header_list::const_iterator::readField()
{
    if (m_rest.empty()) {
        return;
    }
    const auto colon = m_rest.find(':');
    const auto end = m_rest.find('\n', colon);
    m_field = {.name = m_rest.substr(0, colon), .value = m_rest.substr(colon + 1, end - colon - 1)};
    m_fieldBytes = end + 1;
}

header_list::const_iterator::reference header_list::const_iterator::operator*() const
{
    return m_field;
}

header_list::const_iterator::pointer header_list::const_iterator::operator->() const
{
    return &m_field;
}

header_list::const_iterator &header_list::const_iterator::operator++()
{
    m_rest.remove_prefix(m_fieldBytes);
    readField();
    return *this;
}

header_list::const_iterator header_list::const_iterator::operator++(int)
{
    auto before = *this;
    ++*this;
    return before;
}

bool header_list::const_iterator::operator==(const const_iterator &other) const
{
    return m_rest.size() == other.m_rest.size();
}

header_list::header_list(std::initializer_list<header_field> fields)
{
    for (const auto &field : fields) {
        append(field.name, field.value);
    }
}

void header_list::append(std::string_view name, std::string_view value)
{
    m_text.append(name).append(1, ':').append(value).append(1, '\n');
}

void header_list::appendToName(std::string_view part)
{
    if (m_position == position::in_value) {
        m_text.push_back('\n');
    }
    m_position = position::in_name;
    m_text.append(part);
}

void header_list::appendToValue(std::string_view part)
{
    if (m_position == position::in_name) {
        m_text.push_back(':');
    }
    m_position = position::in_value;
    m_text.append(part);
}

void header_list::endFields()
{
    if (m_position == position::in_name) {
        m_text.push_back(':');
    }
    if (m_position != position::between_fields) {
        m_text.push_back('\n');
    }
    m_position = position::between_fields;
}

header_list::const_iterator header_list::begin() const
{
    return const_iterator(m_text);
}

header_list::const_iterator header_list::end() const
{
    return {};
}

bool header_list::empty() const
{
    return m_text.empty();
}

std::size_t header_list::heldBytes() const
{
    return m_text.capacity();
}

std::optional<std::string> findHeader(const header_list &headers, std::string_view name)
{
    const auto position = std::find_if(headers.begin(), headers.end(), [name](const header_field &field) { return equalsIgnoreCase(field.name, name); });
    return position == headers.end() ? std::nullopt : std::optional<std::string>(position->value);
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(hopByHopNames.begin(), hopByHopNames.end(), [name](std::string_view known) { return equalsIgnoreCase(known, name); });
}

header_list endToEndHeaders(const header_list &headers)
{
    // In lower case. A set, as both the field and the fields that it may name can be thousands.
    std::unordered_set<std::string> named;
    for (const auto &field : headers) {
        if (equalsIgnoreCase(field.name, "connection")) {
            for (std::string_view rest = field.value; !rest.empty();) {
                const auto comma = std::min(rest.find(','), rest.size());
                named.insert(toLower(trim(rest.substr(0, comma))));
                rest.remove_prefix(std::min(comma + 1, rest.size()));
            }
        }
    }
    header_list kept;
    for (const auto &field : headers) {
        if (!isHopByHop(field.name) && (named.empty() || named.find(toLower(field.name)) == named.end())) {
            kept.append(field.name, field.value);
        }
    }
    return kept;
}

void appendHeader(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void appendResponseHead(std::string &out, int status, std::string_view reason, const header_list &headers)
{
    out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason).append("\r\n");
    for (const auto &field : headers) {
        appendHeader(out, field.name, field.value);
    }
}

void appendChunk(std::string &out, std::string_view data)
{
    if (data.empty()) {
        return;
    }
    std::array<char, 16> size{};
    const auto written = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16);
    out.append(size.data(), written.ptr).append("\r\n").append(data).append("\r\n");
}

std::optional<time_point> parseDate(const std::string &text)
{
    std::tm parts{};
    const char *end = strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
    if (end == nullptr || *end != '\0') {
        return std::nullopt;
    }
    return time_point(std::chrono::seconds(timegm(&parts)));
}

std::string_view reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace wisteriashunt

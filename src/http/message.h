/// HTTP/1.1 messages with parsed heads and raw bodies.
#pragma once

#include "wisteriashunt/time.h"

#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// One header field with the name spelled as received. Refers to texts that belong to others, for example to a header_list.
struct header_field
{
    std::string_view name;
    std::string_view value;

    bool operator==(const header_field &) const = default;
};

/// Header fields in the order in which they were received. They are kept as one text, so that a field takes no more memory than on the wire: a
/// head may hold thousands of lines of a few bytes.
class header_list
{
public:
    /// Iterates over the fields. Invalidated by any change of the list.
    class const_iterator
    {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = header_field;
        using difference_type = std::ptrdiff_t;
        using pointer = const header_field *;
        using reference = const header_field &;

        const_iterator() = default;
        explicit const_iterator(std::string_view rest);

        reference operator*() const;
        pointer operator->() const;
        const_iterator &operator++();
        const_iterator operator++(int);
        bool operator==(const const_iterator &other) const;

    private:
        void readField();

        /// Text from the current field on; empty at the end.
        std::string_view m_rest;
        std::size_t m_fieldBytes = 0;
        header_field m_field;
    };

    header_list() = default;
    header_list(std::initializer_list<header_field> fields);

    void append(std::string_view name, std::string_view value);
    /// Appends a part of a name; begins a field unless the last one has no value yet.
    void appendToName(std::string_view part);
    /// Appends a part of the last field's value. Requires a field.
    void appendToValue(std::string_view part);
    /// Completes the last field.
    void endFields();

    [[nodiscard]] const_iterator begin() const;
    [[nodiscard]] const_iterator end() const;
    [[nodiscard]] bool empty() const;
    /// Memory that the fields take.
    [[nodiscard]] std::size_t heldBytes() const;

    bool operator==(const header_list &other) const = default;

private:
    /// "NAME:VALUE\n" for each field. Neither a name can hold a colon nor a value a line break.
    std::string m_text;
    enum class position {
        between_fields,
        in_name,
        in_value,
    };
    position m_position = position::between_fields;
};

/// Compares ASCII text without regard to case, as field names require.
[[nodiscard]] bool equalsIgnoreCase(std::string_view left, std::string_view right);

/// Removes spaces and tabs at both ends.
[[nodiscard]] std::string_view trim(std::string_view text);

/// Returns the value of the first field with that name, or nullopt if there is none.
[[nodiscard]] std::optional<std::string> findHeader(const header_list &headers, std::string_view name);

/// Returns the time of a Date field, for example "Fri, 04 Dec 2026 21:18:00 GMT"; nullopt if the text is none.
[[nodiscard]] std::optional<time_point> parseDate(const std::string &text);

/// Returns true for fields that apply to a single connection and must not be forwarded (RFC 9110, 7.6.1).
[[nodiscard]] bool isHopByHop(std::string_view name);

/// Returns the fields except hop-by-hop fields and those that the Connection field lists.
[[nodiscard]] header_list endToEndHeaders(const header_list &headers);

/// A complete request.
struct received_request
{
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    bool isHttp10 = false;
    bool keepsAlive = true;

    /// Memory that the request takes.
    [[nodiscard]] std::size_t heldBytes() const
    {
        return target.size() + headers.heldBytes() + body.size();
    }
};

/// What marks the end of a response's body.
enum class body_framing {
    /// The response has no body, by its status.
    none,
    length,
    chunks,
    /// Neither a length nor chunks: the body extends to the end of the connection.
    connection_end,
};

[[nodiscard]] std::string_view toString(body_framing framing);

/// Status line and fields of a response.
struct http_response_head
{
    int status = 0;
    std::string reason;
    header_list headers;
    bool keepsAlive = true;
    body_framing framing = body_framing::none;
};

/// Appends "NAME: VALUE\r\n".
void appendHeader(std::string &out, std::string_view name, std::string_view value);

/// Appends the status line and the fields, without the empty line that ends a head.
void appendResponseHead(std::string &out, int status, std::string_view reason, const header_list &headers);

/// Appends one chunk of a chunked body. Empty data is skipped because an empty chunk ends the body.
void appendChunk(std::string &out, std::string_view data);

/// The chunk that ends a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

/// Returns the standard reason phrase of a status code.
[[nodiscard]] std::string_view reasonPhrase(int status);

} // namespace wisteriashunt

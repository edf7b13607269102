/// Finds the ends of server-sent events in a stream of bytes.
#pragma once

#include <cstddef>
#include <string_view>

namespace wisteriashunt
{

/// Knows whether the bytes read so far end with a whole event. A blank line ends an event; lines end with LF, CRLF or CR. A comment line that
/// stands between two events belongs to none.
class event_boundary
{
public:
    /// Reads the next bytes of the stream. Returns the number of them up to the end of the last event or comment that is whole; 0 if they end
    /// none.
    std::size_t feed(std::string_view bytes);

    /// Whether the bytes read so far end within an event or a line.
    [[nodiscard]] bool isInsideEvent() const;

private:
    /// Ends the current line. Returns whether all bytes up to here are whole events and comments.
    bool endLine();

    bool m_hasEventLine = false;
    bool m_isLineEmpty = true;
    bool m_isComment = false;
    bool m_endedWithCarriageReturn = false;
};

} // namespace wisteriashunt

#include "gateway/event_boundary.h"

#include <algorithm>

namespace wisteriashunt
{

std::size_t event_boundary::feed(std::string_view bytes)
{
    constexpr std::string_view lineEnds = "\r\n";
    std::size_t wholeBytes = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const char next = bytes[i];
        if (next == '\n' && m_endedWithCarriageReturn) {
            // The second byte of a CRLF, whose line has ended already.
            m_endedWithCarriageReturn = false;
            wholeBytes = isInsideEvent() ? wholeBytes : i + 1;
        } else if (next == '\n' || next == '\r') {
            m_endedWithCarriageReturn = next == '\r';
            wholeBytes = endLine() ? i + 1 : wholeBytes;
        } else {
            m_endedWithCarriageReturn = false;
            m_isComment = m_isLineEmpty ? next == ':' : m_isComment;
            m_isLineEmpty = false;
            i = std::min(bytes.find_first_of(lineEnds, i), bytes.size()) - 1;
        }
    }
    return wholeBytes;
}

bool event_boundary::endLine()
{
    const bool isBlank = m_isLineEmpty;
    const bool isEventLine = !isBlank && !m_isComment;
    m_hasEventLine = !isBlank && (m_hasEventLine || isEventLine);
    m_isLineEmpty = true;
    m_isComment = false;
    return !m_hasEventLine;
}

bool event_boundary::isInsideEvent() const
{
    return m_hasEventLine || !m_isLineEmpty;
}

} // namespace wisteriashunt

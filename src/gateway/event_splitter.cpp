#include "gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace wisteriashunt
{

namespace
{

/// Returns the number of an ID field, if the line is one.
std::optional<std::int64_t> idOf(std::string_view line)
{
    constexpr std::string_view field = "id:";
    if (!line.starts_with(field)) {
        return std::nullopt;
    }
    line.remove_prefix(std::min(line.find_first_not_of(' ', field.size()), line.size()));
    std::int64_t number = 0;
    const auto parsed = std::from_chars(line.data(), line.data() + line.size(), number);
    return parsed.ec == std::errc{} ? std::optional(number) : std::nullopt;
}

/// First and last ID among whole events.
struct id_range
{
    std::optional<std::int64_t> first;
    std::optional<std::int64_t> last;
};

id_range idsOf(std::string_view events)
{
    constexpr std::string_view lineEnds = "\r\n";
    id_range ids;
    while (!events.empty()) {
        const auto end = std::min(events.find_first_of(lineEnds), events.size());
        if (const auto id = idOf(events.substr(0, end))) {
            ids.first = ids.first.value_or(*id);
            ids.last = id;
        }
        events.remove_prefix(std::min(end + 1, events.size()));
    }
    return ids;
}

} // namespace

std::string_view event_splitter::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_returnedBytes);
    m_returnedBytes = 0;
    const std::size_t bufferedBytes = m_buffer.size();
    m_buffer.append(bytes);
    const std::size_t wholeBytes = m_boundary.feed(bytes);
    if (wholeBytes == 0) {
        return {};
    }
    m_returnedBytes = bufferedBytes + wholeBytes;
    const std::string_view events(m_buffer.data(), m_returnedBytes);
    const auto ids = idsOf(events);
    if (ids.first && m_resumedAfter && *ids.first <= *m_resumedAfter) {
        m_isOutOfOrder = true;
        return {};
    }
    if (ids.first) {
        m_resumedAfter.reset();
        m_lastEvent = ids.last;
    }
    return events;
}

bool event_splitter::isOutOfOrder() const
{
    return m_isOutOfOrder;
}

std::optional<std::int64_t> event_splitter::lastEvent() const
{
    return m_lastEvent;
}

void event_splitter::dropPartial()
{
    m_buffer.clear();
    m_returnedBytes = 0;
    m_boundary = {};
    m_resumedAfter = m_lastEvent;
}

bool event_splitter::hasPartial() const
{
    return m_boundary.isInsideEvent();
}

} // namespace wisteriashunt

#include "gateway/event_splitter.h"

#include <charconv>

namespace wisteriashunt
{

std::string_view event_splitter::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_returnedBytes);
    m_returnedBytes = 0;
    m_buffer.append(bytes);
    constexpr std::string_view separator = "\n\n";
    const auto end = m_buffer.rfind(separator);
    if (end == std::string::npos) {
        return {};
    }
    m_returnedBytes = end + separator.size();
    const std::string_view events(m_buffer.data(), m_returnedBytes);
    if (m_resumedAfter && repeatsEvents(events)) {
        m_isOutOfOrder = true;
        return {};
    }
    m_resumedAfter.reset();
    recordLastId(events);
    return events;
}

bool event_splitter::repeatsEvents(std::string_view events) const
{
    event_splitter firstOnly;
    constexpr std::string_view separator = "\n\n";
    firstOnly.recordLastId(events.substr(0, events.find(separator) + separator.size()));
    return firstOnly.lastEvent() && *firstOnly.lastEvent() <= *m_resumedAfter;
}

bool event_splitter::isOutOfOrder() const
{
    return m_isOutOfOrder;
}

void event_splitter::recordLastId(std::string_view events)
{
    constexpr std::string_view field = "id:";
    // Searches from the end, because only the last ID is needed. A match within a line is data, not a field.
    for (auto position = events.rfind(field); position != std::string_view::npos;
         position = position == 0 ? std::string_view::npos : events.rfind(field, position - 1)) {
        if (position != 0 && events[position - 1] != '\n') {
            continue;
        }
        auto first = position + field.size();
        while (first < events.size() && events[first] == ' ') {
            ++first;
        }
        std::int64_t number = 0;
        const auto parsed = std::from_chars(events.data() + first, events.data() + events.size(), number);
        if (parsed.ec == std::errc{}) {
            m_lastEvent = number;
            return;
        }
    }
}

std::optional<std::int64_t> event_splitter::lastEvent() const
{
    return m_lastEvent;
}

void event_splitter::dropPartial()
{
    m_buffer.clear();
    m_returnedBytes = 0;
    m_resumedAfter = m_lastEvent;
}

bool event_splitter::hasPartial() const
{
    return m_buffer.size() > m_returnedBytes;
}

} // namespace wisteriashunt

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

/// IDs of whole events.
struct event_ids
{
    std::optional<std::int64_t> first;
    std::optional<std::int64_t> last;
    /// Whether the first event, other than a comment or a retry time, has no ID.
    bool beginsWithoutId = false;
    /// Whether an event without an ID follows the one that has the last ID, or all events have none.
    bool endsWithoutId = false;
};

event_ids idsOf(std::string_view events)
{
    constexpr std::string_view lineEnds = "\r\n";
    constexpr char commentMark = ':';
    event_ids ids;
    bool hasEventLine = false;
    bool hasId = false;
    bool hasContent = false;
    while (!events.empty()) {
        const auto end = std::min(events.find_first_of(lineEnds), events.size());
        const auto line = events.substr(0, end);
        if (const auto id = idOf(line)) {
            ids.first = ids.first.value_or(*id);
            ids.last = id;
            hasId = true;
        }
        hasEventLine = hasEventLine || (!line.empty() && line.front() != commentMark);
        hasContent = hasContent || (!line.empty() && line.front() != commentMark && !line.starts_with("retry:"));
        const bool isCrLf = events.substr(end, lineEnds.size()) == lineEnds;
        if (line.empty() && hasEventLine) {
            ids.beginsWithoutId = ids.beginsWithoutId || (hasContent && !hasId && !ids.first);
            ids.endsWithoutId = !hasId;
            hasEventLine = false;
            hasId = false;
            hasContent = false;
        }
        events.remove_prefix(std::min(end + (isCrLf ? lineEnds.size() : 1), events.size()));
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
    if (m_resumedAfter && (ids.beginsWithoutId || (ids.first && *ids.first <= *m_resumedAfter))) {
        m_isOutOfOrder = true;
        return {};
    }
    if (ids.first) {
        m_resumedAfter.reset();
        m_lastEvent = ids.last;
    }
    m_canResume = ids.endsWithoutId ? false : m_canResume || ids.first.has_value();
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

bool event_splitter::canResume() const
{
    return m_canResume;
}

void event_splitter::dropPartial()
{
    m_buffer.clear();
    m_returnedBytes = 0;
    m_boundary = {};
    m_resumedAfter = m_lastEvent;
}

std::size_t event_splitter::partialBytes() const
{
    return m_buffer.size() - m_returnedBytes;
}

bool event_splitter::hasPartial() const
{
    return m_boundary.isInsideEvent();
}

} // namespace wisteriashunt

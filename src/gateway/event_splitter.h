/// Splits a stream of server-sent events into whole events, for streams that may resume at another endpoint. Used by wisteriashunt-entry;
/// the endpoint process of wisteriashuntd uses daemon/sse_splitter.h, which counts events and checks their request ID.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// Buffers bytes and returns whole events only, because an endpoint can fail in the middle of one.
class event_splitter
{
public:
    /// Appends bytes and returns the events that they complete. The result is valid until the next call.
    [[nodiscard]] std::string_view feed(std::string_view bytes);

    /// ID of the last whole event, if any had a numeric ID.
    [[nodiscard]] std::optional<std::int64_t> lastEvent() const;

    /// Discards the unfinished event. The next bytes come from another endpoint, which must resume after the last whole event.
    void dropPartial();

    /// Whether the first event after dropPartial() repeats an event that was returned before. None of those bytes are returned.
    [[nodiscard]] bool isOutOfOrder() const;

    /// Whether an unfinished event is buffered.
    [[nodiscard]] bool hasPartial() const;

private:
    void recordLastId(std::string_view events);
    [[nodiscard]] bool repeatsEvents(std::string_view events) const;

    std::string m_buffer;
    std::size_t m_returnedBytes = 0;
    std::optional<std::int64_t> m_lastEvent;
    /// The first event of a resumed stream must have a larger ID than this.
    std::optional<std::int64_t> m_resumedAfter;
    bool m_isOutOfOrder = false;
};

} // namespace wisteriashunt

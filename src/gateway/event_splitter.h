/// Splits a stream of server-sent events into whole events, for streams that may go on at another endpoint.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// Gathers bytes and hands out whole events only, because an endpoint can stop in the middle of one.
class event_splitter
{
public:
    /// Takes bytes; returns the whole events that they complete, ready to be forwarded. Valid until the next call.
    [[nodiscard]] std::string_view feed(std::string_view bytes);

    /// Number of the last whole event, if any had a number.
    [[nodiscard]] std::optional<std::int64_t> lastEvent() const;

    /// Forgets the unfinished event; the next bytes come from another endpoint, which must go on after the last whole event.
    void dropPartial();

    /// The bytes after dropPartial() began with an event that had been handed out before; nothing of them was.
    [[nodiscard]] bool isOutOfOrder() const;

    /// Bytes of an event that has not ended.
    [[nodiscard]] bool hasPartial() const;

private:
    void recordLastId(std::string_view events);
    [[nodiscard]] bool repeatsEvents(std::string_view events) const;

    std::string m_buffer;
    std::size_t m_returnedBytes = 0;
    std::optional<std::int64_t> m_lastEvent;
    /// The next event must have a larger number than this.
    std::optional<std::int64_t> m_resumedAfter;
    bool m_isOutOfOrder = false;
};

} // namespace wisteriashunt

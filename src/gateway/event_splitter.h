/// Splits a stream of server-sent events into whole events, so that callers never get a part of one, and a stream can resume at another
/// endpoint. Used by wisteriashunt-entry; the endpoint process of wisteriashuntd uses daemon/sse_splitter.h, which counts events and checks
/// their request ID.
#pragma once

#include "gateway/event_boundary.h"

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

    /// Whether a stream that resumes after lastEvent() repeats none of the returned events: the last of them has that ID, or there is none.
    [[nodiscard]] bool canResume() const;

    /// Discards the unfinished event. The next bytes come from another endpoint, which must resume after the last whole event.
    void dropPartial();

    /// Whether the first event after dropPartial() repeats an event that was returned before, or has no ID that shows that it does not. None of
    /// those bytes are returned.
    [[nodiscard]] bool isOutOfOrder() const;

    /// Whether the bytes so far end within an event.
    [[nodiscard]] bool hasPartial() const;

    /// Bytes of the unfinished event.
    [[nodiscard]] std::size_t partialBytes() const;

private:
    std::string m_buffer;
    std::size_t m_returnedBytes = 0;
    event_boundary m_boundary;
    std::optional<std::int64_t> m_lastEvent;
    /// The first event of a resumed stream must have a larger ID than this.
    std::optional<std::int64_t> m_resumedAfter;
    bool m_isOutOfOrder = false;
    bool m_canResume = true;
};

} // namespace wisteriashunt

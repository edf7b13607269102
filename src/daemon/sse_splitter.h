/// Splits the server-sent event stream of a chat completion into complete events, and counts and checks them. Used by the endpoint process of
/// wisteriashuntd; wisteriashunt-entry uses gateway/event_splitter.h, which keeps the event IDs that a resumed stream needs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// Complete events of one read.
struct sse_batch
{
    std::string data;
    std::uint32_t events = 0;
    /// One of the events is the closing "[DONE]" event.
    bool isDone = false;
    /// One of the events does not carry the expected identifier, so it may belong to another request.
    bool hasWrongId = false;
};

/// Splits a stream that is read in pieces. Keeps an incomplete event until the next read.
class sse_splitter
{
public:
    /// With a non-empty `expectedId`, every event except "[DONE]" must be a JSON object with this "id"; otherwise `hasWrongId` is set.
    explicit sse_splitter(std::string expectedId);

    /// Returns the events that these bytes complete.
    [[nodiscard]] sse_batch feed(std::string_view bytes);

    /// Bytes of the unfinished event.
    [[nodiscard]] std::size_t partialBytes() const;

private:
    [[nodiscard]] bool hasWrongId(std::string_view event) const;

    std::string m_expectedId;
    std::string m_partialEvent;
};

} // namespace wisteriashunt

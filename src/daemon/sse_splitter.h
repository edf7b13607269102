/// Cuts a server-sent event stream of a chat completion into whole events.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// Whole events that arrived together.
struct sse_batch
{
    std::string data;
    std::uint32_t events = 0;
    /// The closing "[DONE]" event was among them.
    bool isDone = false;
    /// An event belongs to another request.
    bool hasWrongId = false;
};

/// Keeps the incomplete rest between two reads.
class sse_splitter
{
public:
    /// With a non-empty `expectedId`, an event whose JSON has another "id" makes the batch foreign.
    explicit sse_splitter(std::string expectedId);

    [[nodiscard]] sse_batch feed(std::string_view bytes);

private:
    [[nodiscard]] bool hasWrongId(std::string_view event) const;

    std::string m_expectedId;
    std::string m_partialEvent;
};

} // namespace wisteriashunt

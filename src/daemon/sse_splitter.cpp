#include "daemon/sse_splitter.h"

#include <nlohmann/json.hpp>

namespace wisteriashunt
{

namespace
{

constexpr std::string_view separator = "\n\n";
constexpr std::string_view dataField = "data: ";
constexpr std::string_view doneEvent = "data: [DONE]";

} // namespace

sse_splitter::sse_splitter(std::string expectedId)
    : m_expectedId(std::move(expectedId))
{
}

bool sse_splitter::hasWrongId(std::string_view event) const
{
    if (m_expectedId.empty()) {
        return false;
    }
    if (!event.starts_with(dataField)) {
        return true;
    }
    const auto parsed = nlohmann::json::parse(event.substr(dataField.size()), nullptr, false);
    return parsed.is_discarded() || !parsed.is_object() || parsed.value("id", nlohmann::json()) != m_expectedId;
}

std::size_t sse_splitter::partialBytes() const
{
    return m_partialEvent.size();
}

sse_batch sse_splitter::feed(std::string_view bytes)
{
    m_partialEvent.append(bytes);
    sse_batch batch;
    std::size_t position = 0;
    while (true) {
        const auto end = m_partialEvent.find(separator, position);
        if (end == std::string::npos) {
            break;
        }
        const std::string_view event = std::string_view(m_partialEvent).substr(position, end - position);
        if (event == doneEvent) {
            batch.isDone = true;
        } else {
            batch.hasWrongId = batch.hasWrongId || hasWrongId(event);
        }
        batch.data.append(event).append(separator);
        ++batch.events;
        position = end + separator.size();
    }
    m_partialEvent.erase(0, position);
    return batch;
}

} // namespace wisteriashunt

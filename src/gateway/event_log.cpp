#include "gateway/event_log.h"

#include <fcntl.h>
#include <string_view>
#include <unistd.h>

namespace wisteriashunt
{

namespace
{

/// Most bytes of one value in a line. Values may contain what others have sent.
constexpr std::size_t maxValueBytes = 2048;

/// Appends a value so that the line stays one line.
void appendValue(std::string &line, std::string_view value)
{
    const bool isCut = value.size() > maxValueBytes;
    for (const char c : value.substr(0, maxValueBytes)) {
        const auto byte = static_cast<unsigned char>(c);
        line.push_back(byte < 0x20 || byte == 0x7f ? '?' : c);
    }
    line.append(isCut ? "..." : "");
}

} // namespace

std::string milliseconds(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

event_log::event_log(event_loop &loop, const event_log_options &options)
    : m_loop(loop)
    , m_options(options)
{
    fcntl(options.descriptor, F_SETFL, fcntl(options.descriptor, F_GETFL) | O_NONBLOCK);
    runPeriodically(loop, options.period, [this] { flush(); });
}

event_log::~event_log()
{
    flush();
}

void event_log::write(event_number event, std::initializer_list<log_field> fields)
{
    if (m_buffer.size() > m_options.capacityBytes) {
        ++m_dropped;
        return;
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.now().time_since_epoch()).count();
    constexpr int millisecondsInSecond = 1000;
    auto fraction = std::to_string(millisecondsInSecond + milliseconds % millisecondsInSecond);
    fraction.front() = '.';
    m_buffer.append(std::to_string(milliseconds / millisecondsInSecond)).append(fraction);
    m_buffer.append(" event=").append(std::to_string(static_cast<int>(event))).append(" name=").append(toString(event));
    for (const auto &field : fields) {
        m_buffer.append(1, ' ').append(field.key).append(1, '=');
        appendValue(m_buffer, field.value);
    }
    m_buffer.append(1, '\n');
}

void event_log::flush()
{
    if (m_dropped > 0 && m_buffer.size() < m_options.capacityBytes / 2) {
        const auto dropped = std::exchange(m_dropped, 0);
        write(event_number::log_lines_dropped, {{"count", std::to_string(dropped)}});
    }
    if (m_buffer.empty()) {
        return;
    }
    const ssize_t written = ::write(m_options.descriptor, m_buffer.data(), m_buffer.size());
    if (written > 0) {
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace wisteriashunt

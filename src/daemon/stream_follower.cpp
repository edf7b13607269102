#include "daemon/stream_follower.h"

#include "wisteriashunt/errors.h"

#include <optional>

namespace wisteriashunt
{

stream_follower::stream_follower(const stream_follower_options &options, std::unique_ptr<log_service> log)
    : m_options(options)
    , m_log(std::move(log))
    , m_thread([this] { run(); })
{
}

stream_follower::~stream_follower()
{
    m_isStopping = true;
    m_thread.join();
}

void stream_follower::run()
{
    // Unknown until the end of the stream has been read or a read has failed.
    std::optional<bool> isAvailable;
    while (!m_isStopping) {
        const log_offset from = m_options.nextOffset();
        try {
            const log_page page = m_log->read(m_options.stream, from, m_options.readWait);
            m_options.onPage(page);
            const bool hasReachedEnd = page.records.empty() || page.records.back().offset + 1 >= page.next;
            if (isAvailable != true && hasReachedEnd) {
                isAvailable = true;
                m_options.onAvailability(true);
            }
        } catch (const shunt_error &) {
            if (isAvailable != false) {
                isAvailable = false;
                m_options.onAvailability(false);
            }
            std::this_thread::sleep_for(m_options.retryInterval);
        }
    }
}

} // namespace wisteriashunt

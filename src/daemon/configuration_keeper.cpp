#include "daemon/configuration_keeper.h"

#include "wisteriashunt/errors.h"

namespace wisteriashunt
{

configuration_replica::configuration_replica(const replica_options &options, std::unique_ptr<log_service> followLog, std::unique_ptr<log_service> snapshotLog)
    : m_options(options)
    , m_snapshotLog(std::move(snapshotLog))
{
    stream_follower_options followerOptions{.stream = configurationStream,
                                            .nextOffset =
                                                [this] {
                                                    const absl::MutexLock lock(&m_mutex);
                                                    return m_reducer.nextOffset();
                                                },
                                            .onPage = [this](const log_page &page) { onPage(page); },
                                            .onAvailability = options.onAvailability};
    m_follower = std::make_unique<stream_follower>(followerOptions, std::move(followLog));
}

void configuration_replica::onPage(const log_page &page)
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_reducer.apply(page);
    }
    publish();
    writeSnapshotIfDue();
}

void configuration_replica::adopt(const std::string &snapshot)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_reducer.adoptSnapshot(snapshot)) {
            return;
        }
    }
    publish();
}

void configuration_replica::publish()
{
    const absl::MutexLock publishing(&m_publishMutex);
    configuration_state state;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_reducer.state().offset <= m_publishedOffset) {
            return;
        }
        m_publishedOffset = m_reducer.state().offset;
        state = m_reducer.state();
    }
    m_options.onState(state);
}

void configuration_replica::writeSnapshotIfDue()
{
    std::string record;
    {
        const absl::MutexLock lock(&m_mutex);
        const log_offset offset = m_reducer.state().offset;
        if (m_options.recordsPerSnapshot == 0 || offset < m_reducer.lastSnapshotOffset() + m_options.recordsPerSnapshot) {
            return;
        }
        record = m_reducer.makeSnapshotRecord();
    }
    try {
        m_snapshotLog->append(configurationStream, {record});
    } catch (const shunt_error &) {
        // Retried after the next page. A snapshot that was written twice has no effect.
    }
}

log_offset configuration_replica::offset() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_reducer.state().offset;
}

std::string configuration_replica::snapshot() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_reducer.makeSnapshot();
}

configuration_state configuration_replica::state() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_reducer.state();
}

} // namespace wisteriashunt

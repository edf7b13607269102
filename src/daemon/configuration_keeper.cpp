#include "daemon/configuration_keeper.h"

#include "wisteriashunt/errors.h"

namespace wisteriashunt
{

configuration_keeper::configuration_keeper(const keeper_options &options, std::unique_ptr<log_service> followLog, std::unique_ptr<log_service> snapshotLog)
    : m_options(options)
    , m_snapshotLog(std::move(snapshotLog))
{
    follower_options following{.stream = configurationStream,
                               .nextOffset =
                                   [this] {
                                       const absl::MutexLock lock(&m_mutex);
                                       return m_reducer.nextOffset();
                                   },
                               .onPage = [this](const log_page &page) { onPage(page); },
                               .onAvailability = options.onAvailability};
    m_follower = std::make_unique<stream_follower>(following, std::move(followLog));
}

void configuration_keeper::onPage(const log_page &page)
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_reducer.apply(page);
    }
    publish();
    writeSnapshotIfDue();
}

void configuration_keeper::adopt(const std::string &snapshot)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_reducer.adoptSnapshot(snapshot)) {
            return;
        }
    }
    publish();
}

void configuration_keeper::publish()
{
    const absl::MutexLock publishing(&m_publishMutex);
    configuration_state state;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_reducer.state().offset <= m_published) {
            return;
        }
        m_published = m_reducer.state().offset;
        state = m_reducer.state();
    }
    m_options.onState(state);
}

void configuration_keeper::writeSnapshotIfDue()
{
    std::string record;
    {
        const absl::MutexLock lock(&m_mutex);
        const log_offset offset = m_reducer.state().offset;
        if (m_options.snapshotEvery == 0 || offset < m_reducer.lastSnapshotOffset() + m_options.snapshotEvery) {
            return;
        }
        record = m_reducer.makeSnapshotRecord();
    }
    try {
        m_snapshotLog->append(configurationStream, {record});
    } catch (const shunt_error &) {
        // The next page tries again; a snapshot that was written twice changes nothing.
    }
}

log_offset configuration_keeper::offset() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_reducer.state().offset;
}

std::string configuration_keeper::snapshot() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_reducer.makeSnapshot();
}

configuration_state configuration_keeper::state() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_reducer.state();
}

} // namespace wisteriashunt

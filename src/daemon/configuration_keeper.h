/// Keeps the configuration in force in a daemon: from the log, or from peers while the log is down.
#pragma once

#include "configuration/reducer.h"
#include "daemon/stream_follower.h"

#include <absl/synchronization/mutex.h>

#include <functional>
#include <memory>

namespace wisteriashunt
{

/// Settings of a configuration_replica.
struct replica_options
{
    /// Writes a snapshot when this many records have passed since the last one; 0 never writes.
    log_offset recordsPerSnapshot = 500;
    /// Called after each advance, with the new state.
    std::function<void(const configuration_state &)> onState;
    std::function<void(bool available)> onAvailability;
};

/// Guarantees that the state never goes back to an older offset.
class configuration_replica
{
public:
    /// `followLog` and `snapshotLog` are two clients of the same log, one for each duty.
    configuration_replica(const replica_options &options, std::unique_ptr<log_service> followLog, std::unique_ptr<log_service> snapshotLog);

    /// Takes a peer's snapshot if it is newer.
    void adopt(const std::string &snapshot);

    [[nodiscard]] log_offset offset() const;
    [[nodiscard]] std::string snapshot() const;
    [[nodiscard]] configuration_state state() const;

private:
    void onPage(const log_page &page);
    void publish();
    void writeSnapshotIfDue();

    replica_options m_options;
    std::unique_ptr<log_service> m_snapshotLog;
    mutable absl::Mutex m_mutex;
    configuration_reducer m_reducer ABSL_GUARDED_BY(m_mutex);
    log_offset m_publishedOffset ABSL_GUARDED_BY(m_mutex) = 0;
    /// Serialises `onState`, so that states are published in order.
    absl::Mutex m_publishMutex;
    std::unique_ptr<stream_follower> m_follower;
};

} // namespace wisteriashunt

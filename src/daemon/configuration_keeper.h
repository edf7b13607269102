/// Replica of the configuration in a daemon, updated from the log, or from peers while the log is down.
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
    /// Number of log records from one snapshot to the next; 0 writes none.
    log_offset recordsPerSnapshot = 500;
    /// Called with each newer state.
    std::function<void(const configuration_state &)> onState;
    /// Called when the log becomes available or unavailable; see `stream_follower_options`.
    std::function<void(bool available)> onAvailability;
};

/// Guarantees that its state never returns to an older offset.
class configuration_replica
{
public:
    /// Takes two clients of the same log: `followLog` reads the configuration stream, `snapshotLog` appends snapshots to it.
    configuration_replica(const replica_options &options, std::unique_ptr<log_service> followLog, std::unique_ptr<log_service> snapshotLog);

    /// Applies a peer's snapshot if it is newer than the state.
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

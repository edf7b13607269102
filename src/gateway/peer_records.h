/// Entries that the platform's log refuses learn its newest records from entries that it serves.
///
/// One HTTP call with a msgpack body on the control address. Records carry their offsets in the log, so an older copy changes nothing.
#pragma once

#include "gateway/event_log.h"
#include "gateway/log_follower.h"
#include "gateway/peer_exchange.h"
#include "http/caller_connection.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriashunt
{

[[nodiscard]] std::string encodeSnapshot(const keyed_snapshot &snapshot);

/// Throws shunt_error(malformed_frame) if the bytes are no snapshot.
[[nodiscard]] keyed_snapshot decodeSnapshot(std::string_view bytes);

/// When an entry asks others for records.
struct peer_records_options
{
    socket_address self;
    /// A version that a peer has had for this long and the log has not brought is asked for; a read of the log takes less.
    duration catchUpDelay = std::chrono::milliseconds(300);
    /// Pause between two calls for the same topic.
    duration period = std::chrono::milliseconds(500);
    duration timeout = std::chrono::milliseconds(600);
};

/// Serves the records that the followers hold, and fetches newer ones from peers while the log does not answer.
class peer_records
{
public:
    /// The followers must outlive this object.
    peer_records(event_loop &loop, event_log &log, const peer_records_options &options, std::vector<log_follower *> followers);
    peer_records(const peer_records &) = delete;
    peer_records &operator=(const peer_records &) = delete;

    /// A peer holds a newer version of the declarations than this entry.
    void notePeerAhead(const std::string &topic);
    void noteCaughtUp(const std::string &topic);

    /// Fetches where it is due from one of the peers.
    void fetchIfDue(const std::vector<socket_address> &peers);

private:
    struct topic_state
    {
        time_point aheadSince;
        time_point lastFetch;
        std::shared_ptr<upstream_connection> connection;
        timer_id timeout = 0;
    };

    void serve(const std::shared_ptr<caller_connection> &caller, const received_request &request);
    void fetch(log_follower &follower, topic_state &state, const socket_address &peer);
    [[nodiscard]] bool isDue(const log_follower &follower, const topic_state &state) const;

    event_loop &m_loop;
    event_log &m_log;
    peer_records_options m_options;
    std::vector<log_follower *> m_followers;
    std::map<std::string, topic_state> m_topics;
    std::shared_ptr<const caller_hooks> m_hooks;
    caller_set m_callers;
    std::unique_ptr<channel_listener> m_listener;
    std::size_t m_nextPeer = 0;
};

} // namespace wisteriashunt

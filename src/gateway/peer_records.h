/// Exchange of the platform's records between entries, for entries that the platform's log does not answer.
///
/// One HTTP call at the control address, answered with a msgpack body. Records carry their epochs and offsets in the log, so older copies
/// are ignored.
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

/// Records of a topic at one entry.
struct peer_snapshot
{
    keyed_snapshot records;
    /// nullopt from entries of earlier versions.
    std::optional<follower_currency> currency;

    bool operator==(const peer_snapshot &) const = default;
};

[[nodiscard]] std::string encodeSnapshot(const peer_snapshot &snapshot);

/// Throws shunt_error(malformed_frame) if the bytes are not a valid snapshot.
[[nodiscard]] peer_snapshot decodeSnapshot(std::string_view bytes);

/// When an entry requests records from peers.
struct peer_records_options
{
    socket_address self;
    /// Records are requested once a peer has been ahead for this long. A read of the log takes less time than this.
    duration catchUpDelay = std::chrono::milliseconds(300);
    /// Time between two calls for the same topic.
    duration period = std::chrono::milliseconds(500);
    /// Time between two calls for the same topic to entries that read it for this one.
    duration readerPeriod = std::chrono::milliseconds(700);
    duration timeout = std::chrono::milliseconds(600);
    /// Most bytes of the records of one topic.
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
};

/// Serves the records of the followers, and fetches newer ones from peers while the log does not answer or a peer is ahead.
class peer_records
{
public:
    /// The followers must outlive this object.
    peer_records(event_loop &loop, event_log &log, const peer_records_options &options, std::vector<log_follower *> followers);
    peer_records(const peer_records &) = delete;
    peer_records &operator=(const peer_records &) = delete;

    /// Notes that a peer has newer records of the topic than this entry.
    void notePeerAhead(const std::string &topic);
    /// Clears what notePeerAhead() noted, after newer records of the topic have been applied.
    void noteCaughtUp(const std::string &topic);

    /// Fetches each topic that is due from one of the peers, which take turns. If there are readers, peers that read the log for this entry, they are
    /// called instead, each readerPeriod.
    void fetchIfDue(const std::vector<socket_address> &peers, const std::vector<socket_address> &readers);

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
    [[nodiscard]] bool isDue(const log_follower &follower, const topic_state &state, bool hasReaders) const;

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

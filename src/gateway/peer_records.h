/// Exchange of the platform's records between entries, for entries that the platform's log does not answer.
///
/// One HTTP call at the control address, answered with a msgpack body. Records carry their epochs and offsets in the log, so older copies
/// are ignored.
#pragma once

#include "dispatch/stream_versions.h"
#include "gateway/caller_limit.h"
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
    /// For the list of endpoints: the software versions that the entry knows of. nullopt from entries of earlier versions.
    std::optional<stream_digest> versions = std::nullopt;
    /// Whether the entry has read the topic since it was asked.
    bool isFresh = false;

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
    /// Time for one fresh copy, in which the peer reads the log.
    duration freshTimeout = std::chrono::milliseconds(600);
    /// Most peers that are asked for one fresh copy.
    int maxFreshAttempts = 2;
};

/// Serves the records of the followers, and fetches newer ones from peers while the log does not answer or a peer is ahead.
class peer_records
{
public:
    struct hooks
    {
        /// Returns what this entry knows of the software versions of the topic's endpoints; nullopt for other topics.
        std::function<std::optional<stream_digest>(const std::string &topic)> versionsOf = [](const std::string &) { return std::nullopt; };
        /// Called after a copy of the topic was merged, with what the peer knows and whether records were passed over.
        std::function<void(const std::string &topic, const std::optional<stream_digest> &versions, bool hasPassedOver)> onMerged =
            [](const std::string &, const std::optional<stream_digest> &, bool) {};
    };

    /// The followers must outlive this object.
    peer_records(event_loop &loop, event_log &log, const peer_records_options &options, std::vector<log_follower *> followers, hooks callbacks);
    peer_records(const peer_records &) = delete;
    peer_records &operator=(const peer_records &) = delete;

    /// Notes that a peer has newer records of the topic than this entry.
    void notePeerAhead(const std::string &topic);
    /// Clears what notePeerAhead() noted, after newer records of the topic have been applied.
    void noteCaughtUp(const std::string &topic);

    /// Fetches each topic that is due from one of the peers, which take turns. If there are readers, peers that read the log for this entry, they are
    /// called instead, each readerPeriod.
    void fetchIfDue(const std::vector<socket_address> &peers, const std::vector<socket_address> &readers);

    /// Has one of the peers read the topic from the log and merges its records, in a call that begins after this one; reports whether that
    /// succeeded. Demands that come while a call is in progress share the next one.
    void fetchFresh(log_follower &follower, const std::vector<socket_address> &peers, std::function<void(bool isRead)> onRead);

private:
    /// Fresh copies of one topic.
    struct fresh_state
    {
        std::unique_ptr<bounded_client> client;
        /// Demands for which a call has to begin, and those that the one in progress serves.
        std::vector<std::function<void(bool)>> demands;
        std::vector<std::function<void(bool)>> served;
        std::vector<socket_address> peers;
        int attempts = 0;
        time_point calledAt;
    };

    struct topic_state
    {
        time_point aheadSince;
        time_point lastFetch;
        std::shared_ptr<upstream_connection> connection;
        timer_id timeout = 0;
    };

    void serve(const std::shared_ptr<caller_connection> &caller, const received_request &request);
    /// isUpToDate: whether the caller knows the records.
    void answer(caller_connection &caller, const log_follower &follower, bool isUpToDate, bool isFresh) const;
    /// Merges what a peer has answered to a call that was made `sinceCall` before. Throws shunt_error if that is of no use.
    void merge(log_follower &follower, const peer_snapshot &received, duration sinceCall);
    void beginFresh(log_follower &follower, fresh_state &state);
    void tryNextPeer(log_follower &follower, fresh_state &state);
    void endFresh(log_follower &follower, fresh_state &state, bool isRead);
    void fetch(log_follower &follower, topic_state &state, const socket_address &peer);
    [[nodiscard]] bool isDue(const log_follower &follower, const topic_state &state, bool hasReaders) const;

    event_loop &m_loop;
    event_log &m_log;
    peer_records_options m_options;
    std::vector<log_follower *> m_followers;
    hooks m_hooks;
    std::map<std::string, topic_state> m_topics;
    std::map<std::string, fresh_state> m_fresh;
    std::shared_ptr<const caller_hooks> m_callerHooks;
    caller_set m_callers;
    caller_limit m_callerLimit;
    std::unique_ptr<channel_listener> m_listener;
    std::size_t m_nextPeer = 0;
};

} // namespace wisteriashunt

/// Decides which entry holds a duty.
///
/// The holder may act for a lease after it began to append its record. Another entry appends a record only after it has known the newest one for
/// longer than a lease. Holders are paused, and calls and answers are late; none of this lets two act at the same time, because each measures
/// the lease from a moment that is on the safe side.
///
/// Entries agree on who tries first without asking each other: the holder stays while it is heard and able; others follow in an order that every
/// entry works out alike, each some time later than the one before. Order only saves calls, the condition of the append decides.
#pragma once

#include "duties/duty_types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Settings of duty_claim.
struct duty_claim_options
{
    /// Names the duty and its subject; entries order candidates by it.
    std::string key = "usage";
    /// Name under which this entry holds duties, and a number that differs between its starts.
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Time within which two other holders may not act in turn.
    duration lease = std::chrono::seconds(3);
    /// The holder stops acting this long before its lease ends: the time that a call may need to arrive.
    duration leaseMargin = std::chrono::seconds(1);
    /// Time after the lease until another entry may claim.
    duration claimMargin = std::chrono::milliseconds(200);
    /// Time between the tries of two entries that follow each other in the order.
    duration turnStep = std::chrono::milliseconds(600);
    /// Added to the wait of an entry that hears less than half of the entries that it has heard in peerMemory: the others are likely to go on.
    duration minorityDelay = std::chrono::seconds(8);
    /// Time since its last notice after which a peer does not count as heard.
    duration peerLifetime = std::chrono::milliseconds(2500);
    duration peerMemory = std::chrono::minutes(1);
    /// Time after its start during which an entry that has not heard of a record claims nothing: it has not heard its peers yet.
    duration warmUp = std::chrono::milliseconds(1500);
    /// Bounds of the pause between two tries; it doubles with each failure and is spread at random by half.
    duration minRetryPause = std::chrono::milliseconds(100);
    duration maxRetryPause = std::chrono::seconds(1);
    /// Time of failures without a success after which this entry tells others that it is not able, and the time until it tries again.
    duration failureTolerance = std::chrono::milliseconds(2500);
    duration inability = std::chrono::seconds(10);
    /// Most peers that are remembered.
    std::size_t maxPeers = 512;
};

/// The state of a claim, for log lines and metrics.
struct duty_claim_status
{
    std::int64_t number = 0;
    std::string holder;
    bool isHolder = false;
    bool isAble = true;
    std::size_t heardPeers = 0;
    /// Position of this entry in the order of candidates.
    std::size_t rank = 0;

    bool operator==(const duty_claim_status &) const = default;
};

/// Holds, or waits for, one duty. Contents of records are the caller's. All times are those of a clock that also runs while the machine is
/// suspended; see boot_clock. Not thread-safe.
class duty_claim
{
public:
    enum class next_call {
        none,
        read,
        append,
    };

    duty_claim(const duty_claim_options &options, time_point now);

    /// Records a notice of a peer. Returns whether it told of a newer record.
    bool onNotice(const duty_notice &notice, time_point now);
    void setLeaving();

    /// Decides on the next call to the log. isNeeded: whether there is something to record or to do. isOverdue: whether the holder should have
    /// done it long ago. Returns none while a call is under way.
    [[nodiscard]] next_call next(bool isNeeded, bool isOverdue, time_point now);
    /// Records that the read was begun.
    void beginRead();
    /// Returns the action that appends contents that follow the newest ones.
    [[nodiscard]] append_record_action beginAppend(const std::string &contents, time_point now);

    /// Records an answer. Returns whether newest() has changed.
    bool onNewest(const newest_answer &answer, time_point now);
    bool onAppend(const append_answer &answer, time_point now);

    /// Contents of the newest record; nullptr if there is none or this entry does not know them.
    [[nodiscard]] const std::string *newest() const;
    /// Whether the newest contents were appended to what their writer had read. A log that returned from a copy may have put another record
    /// between.
    [[nodiscard]] bool isNewestProven() const;
    /// Returns the number to act under, or nothing if this entry may not act now.
    [[nodiscard]] std::optional<std::int64_t> actingNumber(time_point now) const;
    /// Records the outcome of a call that the duty consists of.
    void onCall(call_outcome outcome, time_point now);

    [[nodiscard]] bool isHolding() const;
    [[nodiscard]] bool isAble(time_point now) const;
    [[nodiscard]] bool isLeaving() const;
    [[nodiscard]] std::int64_t number() const;
    [[nodiscard]] const std::string &holder() const;
    /// This entry and the peers heard, in the order in which they try.
    [[nodiscard]] std::vector<std::string> candidates(time_point now) const;
    /// Peers heard within the time.
    [[nodiscard]] std::vector<std::string> heardPeers(duration within, time_point now) const;
    /// Time since the last notice of the peer; nothing if none is remembered.
    [[nodiscard]] std::optional<duration> sinceHeard(const std::string &peer, time_point now) const;
    /// Whether this entry hears less than half of the entries that it has heard in peerMemory.
    [[nodiscard]] bool isMinority(time_point now) const;
    [[nodiscard]] duty_claim_status status(time_point now) const;
    /// Returns a pause for the number of failures in a row, spread at random.
    [[nodiscard]] duration pauseAfter(int failures, duration shortest, duration longest);
    void report(duty_event event);
    /// Returns and forgets what happened.
    [[nodiscard]] std::vector<duty_event> takeEvents();

private:
    struct peer_state
    {
        duty_notice notice;
        time_point heardAt;
    };
    /// An append of this entry without an answer.
    struct open_append
    {
        std::uint64_t nonce = 0;
        std::int64_t end = 0;
        time_point begunAt;
    };
    /// Failures in a row of one kind of call.
    struct failure_state
    {
        int count = 0;
        time_point since;
    };
    enum class order_group : std::uint8_t {
        holder,
        able,
        unable,
        leaving,
    };

    [[nodiscard]] bool isHeard(const peer_state &peer, time_point now) const;
    /// Whether the newest record is another entry's, which is heard and able.
    [[nodiscard]] bool isWellHeld(time_point now) const;
    void learn(std::int64_t number, const std::string &holder, time_point now);
    void hold(std::int64_t number, time_point begunAt, std::string cause);
    void onLogFailure(time_point now);
    void onLogSuccess();
    void onFailure(failure_state &failures, const char *cause, time_point now);

    duty_claim_options m_options;
    time_point m_startedAt;
    std::map<std::string, peer_state> m_peers;
    bool m_isLeaving = false;

    /// The newest record: its number and holder, and when this entry first knew of it.
    std::int64_t m_number = 0;
    std::string m_holder;
    std::optional<time_point> m_knownAt;
    /// Its contents if known, and where and in which epoch the partition ended then. A record is appended there.
    bool m_isRead = false;
    std::optional<std::string> m_contents;
    bool m_isProven = false;
    std::int64_t m_end = 0;
    std::int64_t m_epoch = 0;
    /// Whether this process has written the newest record, and until when it may act on it.
    bool m_isOwn = false;
    time_point m_actUntil;

    next_call m_underWay = next_call::none;
    std::string m_appending;
    std::int64_t m_numberAtCall = 0;
    std::vector<open_append> m_open;
    /// Whether an append was not answered since the last read.
    bool m_mustRead = false;
    std::uint64_t m_nextNonce = 1;
    time_point m_retryAt;
    /// Since when there is something to do that no other entry does.
    std::optional<time_point> m_waitingSince;
    failure_state m_logFailures;
    failure_state m_callFailures;
    time_point m_unableUntil;
    std::uint64_t m_random;
    std::vector<duty_event> m_events;
};

} // namespace wisteriashunt

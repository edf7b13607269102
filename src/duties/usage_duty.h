/// Reports to the platform how many requests of each workspace began to run in each window of true time.
///
/// Every entry counts its own requests and tells its counts to the entries that hold the duty or are next to hold it. The holder fixes a window
/// by a record in the platform's log, and reports exactly these counts, as does each successor until the platform has accepted them.
#pragma once

#include "duties/duty_claim.h"
#include "duties/duty_record.h"
#include "duties/duty_types.h"
#include "duties/stored_counts.h"
#include "duties/true_time.h"
#include "duties/usage_ledger.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wisteriashunt
{

/// Settings of usage_duty.
struct usage_duty_options
{
    duty_claim_options claim;
    true_time_options clock;
    /// Length of a window; window k starts k times this after 1970.
    duration window = std::chrono::seconds(5);
    /// Time after the end of a window until which its report is due. Later ones are given up.
    duration due = std::chrono::seconds(10);
    /// Times after the end of a window from which the holder fixes it: if all entries have told that their counts are final, and in any case.
    duration minFixDelay = std::chrono::milliseconds(300);
    duration maxFixDelay = std::chrono::milliseconds(3800);
    /// The same as maxFixDelay for an entry that hears less than half of its peers: it leaves the window to the others first.
    duration minorityFixDelay = std::chrono::milliseconds(5500);
    /// Entries that were heard within this time are waited for until maxFixDelay.
    duration fixMemory = std::chrono::seconds(30);
    stored_counts_options storedCounts;
    /// Time after maxFixDelay from which others try although the holder is heard.
    duration overdue = std::chrono::seconds(2);
    /// Bounds of the pause between two calls to the platform; it doubles with each failure and is spread at random by half.
    duration minCallPause = std::chrono::milliseconds(150);
    duration maxCallPause = std::chrono::seconds(1);
    /// Most windows in a record, and the most bytes that one may have.
    std::size_t maxWindows = 4;
    std::size_t maxRecordBytes = 60000;
    /// Windows for which counts are kept and told.
    std::int64_t countedWindows = 4;
};

/// For metrics.
struct usage_duty_status
{
    duty_claim_status claim;
    std::int64_t fixedThrough = -1;
    std::int64_t reportedThrough = -1;
    /// Windows that this entry had accepted and given up.
    std::uint64_t reported = 0;
    std::uint64_t missed = 0;
    /// Estimated true time minus this machine's wall clock.
    duration wallCorrection{};

    bool operator==(const usage_duty_status &) const = default;
};

/// Not thread-safe. now is always the time of a clock that also runs while the machine is suspended; see boot_clock.
class usage_duty
{
public:
    usage_duty(const usage_duty_options &options, time_point now, time_point wall);

    /// Counts a request that began to run.
    void onBegan(const std::string &workspace, time_point now);
    /// Records what a peer told.
    void onNotice(const duty_notice &notice, time_point now);
    void onUsage(const usage_digest &digest, time_point now);
    /// Records a date, in whole seconds, that the platform named in an answer that came the time after the request.
    void onPlatformDate(time_point date, time_point now, duration took = {});
    /// Records that this entry leaves: it claims nothing any more.
    void setLeaving();

    /// What to tell peers.
    [[nodiscard]] duty_notice notice(time_point now, time_point wall) const;
    /// Counts to tell the usageReceivers(), at most about maxBytes: this entry's or, when those are told, those of an entry that is not heard any
    /// more. To be told each 500 ms, then again while hasUsageToTell() up to some bound, and once more when the entry leaves.
    [[nodiscard]] usage_digest usageToTell(std::size_t maxBytes, time_point now);
    /// Whether counts have changed that were not told yet, because they did not fit.
    [[nodiscard]] bool hasUsageToTell() const;
    /// Entries, by name, that hold the duty or are next to hold it. This entry may be among them. At most three.
    [[nodiscard]] std::vector<std::string> usageReceivers(time_point now) const;

    /// Decides what to do. To be asked at least each 100 ms, and after each input. Actions are carried out at once; of log calls, of calls to
    /// the topic of counts, and of platform calls, no more than one each is under way. A call to the platform without an answer is ended by a reset of its
    /// connection, so that the rest of it is not sent later.
    [[nodiscard]] std::vector<duty_action> step(time_point now, time_point wall);
    void onNewest(const newest_answer &answer, time_point now);
    void onAppend(const append_answer &answer, time_point now);
    void onCall(call_outcome outcome, time_point now);
    /// Records whether a store_counts_action was carried out, and the answer to a read_counts_action: one value of each entry, or nothing if it
    /// was not answered.
    void onCountsStored(bool isStored, time_point now);
    void onCountsRead(const std::optional<std::vector<std::string>> &values, time_point now);
    /// Whether the call under way with this number may still be sent. To be asked immediately before its bytes are written.
    [[nodiscard]] bool mayCall(std::int64_t number, time_point now) const;

    /// Returns and forgets what happened.
    [[nodiscard]] std::vector<duty_event> takeEvents();
    [[nodiscard]] usage_duty_status status(time_point now) const;

private:
    /// A window whose counts are in a record.
    struct fixed_state
    {
        usage_counts counts;
        /// Whether it was accepted or given up.
        bool isDone = false;
    };
    struct sent_call
    {
        std::int64_t number = 0;
        std::int64_t window = 0;
    };

    [[nodiscard]] std::int64_t windowAt(time_point trueNow) const;
    /// Returns the time since the end of the window.
    [[nodiscard]] duration sinceEnd(std::int64_t window, time_point trueNow) const;
    [[nodiscard]] bool isExpired(std::int64_t window, time_point trueNow) const;
    /// Whether all entries have told final counts, or it is time in any case.
    [[nodiscard]] bool isFixable(std::int64_t window, time_point trueNow, time_point now) const;
    [[nodiscard]] std::vector<std::int64_t> fixableWindows(time_point trueNow, time_point now) const;
    /// Returns contents that fix the windows, besides those that are not done.
    [[nodiscard]] std::string contentsWith(const std::vector<std::int64_t> &windows);
    /// Returns the call to the topic of counts that is due, if one is.
    [[nodiscard]] std::optional<duty_action> nextCountsCall(time_point trueNow, time_point now);
    /// Peers that may have counted requests: those heard within fixMemory, and the holder also if this entry has never heard it.
    [[nodiscard]] std::vector<std::string> countingPeers(time_point now) const;
    /// Whether this entry knows of all that may have counted requests. Before it started in a fleet, some may have been cut off; it knows of them from
    /// what they have stored.
    [[nodiscard]] bool knowsFleet(duration sinceEnd, time_point now) const;
    /// Whether the peer has told all of its counts of the window, or has ended.
    [[nodiscard]] bool hasTold(const std::string &peer, std::int64_t window, duration sinceEnd, time_point now) const;
    void countEarly(time_point now);
    void readContents();
    void giveUp(std::int64_t window, std::string cause);
    void giveUpExpired(time_point trueNow);
    void updateReportedThrough();
    [[nodiscard]] std::optional<std::int64_t> firstNotDone() const;

    usage_duty_options m_options;
    duty_claim m_claim;
    true_time m_clock;
    usage_ledger m_ledger;
    stored_counts m_stored;
    std::int64_t m_fixedThrough = -1;
    std::int64_t m_reportedThrough = -1;
    std::map<std::int64_t, fixed_state> m_fixed;
    std::optional<sent_call> m_call;
    time_point m_startedAt;
    /// Whether others held the duty before this entry; unset until it has had time to hear of them.
    std::optional<bool> m_hasJoined;
    time_point m_callAt;
    int m_callFailures = 0;
    std::uint64_t m_reported = 0;
    std::uint64_t m_missed = 0;
    std::vector<std::string> m_receivers;
    /// Requests that began while peers may not have corrected the clock yet, by time and workspace; counted when the time after the start is over.
    std::map<std::pair<time_point, std::string>, std::uint64_t> m_early;
    time_point m_countsFrom;
};

} // namespace wisteriashunt

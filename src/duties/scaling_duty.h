/// Orders endpoints from the platform, for each service that is scaled in each availability zone in which it runs.
///
/// Every entry tells its load to the entries that hold the duty or are next to hold it. The holder decides by a scaling_policy for each service, fixes
/// its orders by a record in the platform's log, and sends what the record says; a successor goes on from there. Nothing is recorded as long as
/// nothing is to be ordered.
#pragma once

#include "duties/duty_claim.h"
#include "duties/duty_record.h"
#include "duties/duty_types.h"
#include "duties/scaling_policy.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wisteriashunt
{

/// Load of a service in an availability zone as one entry sees it: requests that it has sent there, or that wait at it or were refused by it.
struct scaling_row
{
    std::string service;
    std::string availabilityZone;
    scaling_load load;

    bool operator==(const scaling_row &) const = default;
};

/// What an entry tells of its load. Replaces what it told before.
struct scaling_figures
{
    std::vector<scaling_row> rows;

    bool operator==(const scaling_figures &) const = default;
};

/// Endpoints of a service in an availability zone that the platform's list contains and that do not leave.
struct listed_zone
{
    std::string service;
    std::string availabilityZone;
    int endpoints = 0;
    /// Requests that they run at once, together.
    int slots = 0;
};

/// What an entry knows by itself.
struct scaling_view
{
    scaling_figures figures;
    std::vector<listed_zone> zones;
    /// Whether the platform's list was read of late.
    bool isListCurrent = false;
};

/// Settings of scaling_duty.
struct scaling_duty_options
{
    duty_claim_options claim{.key = "orders"};
    scaling_policy_options policy;
    /// Time since an entry told its load after which it does not count.
    duration figuresLifetime = std::chrono::milliseconds(2500);
    /// Nothing is ordered if less than half of the entries heard within the first time tell their load, and no number falls unless all heard within the
    /// second do.
    duration riseMemory = std::chrono::minutes(1);
    duration fallMemory = std::chrono::minutes(10);
    /// Time after which an order that no platform has accepted is not sent any more. It is decided again.
    duration orderLifetime = std::chrono::minutes(1);
    /// Time for which an order is not made, although the holder is heard, from which on others try.
    duration overdue = std::chrono::seconds(10);
    /// Bounds of the pause between two calls to the platform after a failure; it doubles with each and is spread at random by half.
    duration minCallPause = std::chrono::milliseconds(150);
    duration maxCallPause = std::chrono::seconds(2);
    /// Entries that are told all loads: the holder and those that follow it.
    std::size_t receivers = 3;
    /// Most services and zones for which endpoints are ordered, and most rows that an entry tells.
    std::size_t maxSubjects = 256;
};

/// For metrics.
struct scaling_duty_status
{
    duty_claim_status claim;
    /// Entries whose load is known, with this one; 0 at an entry that is not told.
    std::size_t tellingEntries = 0;
    /// Orders that this entry had accepted and refused, and those recorded that the platform has not accepted.
    std::uint64_t ordered = 0;
    std::uint64_t refused = 0;
    std::size_t open = 0;

    bool operator==(const scaling_duty_status &) const = default;
};

/// Not thread-safe. now is always the time of a clock that also runs while the machine is suspended; see boot_clock.
class scaling_duty
{
public:
    scaling_duty(const scaling_duty_options &options, time_point now);

    /// Sets the services that are scaled. Those that were and are not any more keep their endpoints.
    void setServices(std::map<std::string, scaling_declaration> services);
    [[nodiscard]] bool hasServices() const;

    /// Records what a peer told.
    void onNotice(const duty_notice &notice, time_point now);
    void onFigures(const std::string &instance, scaling_figures figures, time_point now);
    /// Records that this entry leaves: it claims nothing any more.
    void setLeaving();

    /// What to tell peers. Windows stand for the sequences of orders: the newest recorded, and up to which all are done.
    [[nodiscard]] duty_notice notice(time_point now, time_point wall) const;
    /// Entries, by name, that are told the load. This entry may be among them.
    [[nodiscard]] std::vector<std::string> figuresReceivers(time_point now) const;

    /// Decides what to do. To be asked at least each 500 ms, and after each answer. Actions are carried out as those of usage_duty.
    [[nodiscard]] std::vector<duty_action> step(const scaling_view &view, time_point now, time_point wall);
    void onNewest(const newest_answer &answer, time_point now);
    void onAppend(const append_answer &answer, time_point now);
    void onCall(call_outcome outcome, time_point now);
    /// Whether the call under way with this number may still be sent. To be asked immediately before its bytes are written.
    [[nodiscard]] bool mayCall(std::int64_t number, time_point now) const;

    /// Returns and forgets what happened.
    [[nodiscard]] std::vector<duty_event> takeEvents();
    [[nodiscard]] scaling_duty_status status(time_point now) const;

private:
    /// Service and availability zone.
    using subject = std::pair<std::string, std::string>;
    struct told_figures
    {
        scaling_figures figures;
        time_point at;
    };
    struct order_state
    {
        recorded_order order;
        /// When this entry first knew of it; earlier if the wall clocks say so.
        time_point at;
        std::string cause;
    };
    struct sent_call
    {
        std::int64_t number = 0;
        subject of;
        std::int64_t sequence = 0;
    };

    void decide(const scaling_view &view, time_point now);
    [[nodiscard]] scaled_service serviceOf(const std::string &name, const scaling_declaration &bounds, const scaling_view &view, time_point now) const;
    void addLoad(scaled_service &service, const std::string &name, const scaling_figures &figures) const;
    [[nodiscard]] bool isFresh(const std::string &instance, time_point now) const;
    [[nodiscard]] bool hasOpenOrders() const;
    [[nodiscard]] std::optional<duty_action> nextCall(std::int64_t number, time_point now);
    [[nodiscard]] std::string contentsWithPending();
    void readContents(time_point now);
    /// Ends orders that were not accepted in time.
    void giveUpExpired(time_point now);
    void end(order_state &state, std::int64_t number, duty_event_kind kind, std::string cause);
    void updateDoneThrough();

    scaling_duty_options m_options;
    duty_claim m_claim;
    std::map<std::string, scaling_declaration> m_services;
    std::map<std::string, scaling_policy> m_policies;
    std::map<std::string, told_figures> m_figures;
    /// Orders of the newest record that this entry has read.
    std::map<subject, order_state> m_orders;
    /// Decisions that are in no record yet, and since when there have been any or open orders.
    std::map<subject, scaling_decision> m_pending;
    std::optional<time_point> m_dueSince;
    /// Causes of the orders of the append under way, by sequence.
    std::map<std::int64_t, std::string> m_causes;
    /// Whether the newest record was read at all.
    bool m_isInformed = false;
    std::int64_t m_newestSequence = -1;
    std::int64_t m_doneThrough = -1;
    std::optional<sent_call> m_call;
    time_point m_callAt;
    int m_callFailures = 0;
    time_point m_wall;
    std::uint64_t m_ordered = 0;
    std::uint64_t m_refused = 0;
};

} // namespace wisteriashunt

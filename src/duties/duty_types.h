/// What singleton duties exchange with the platform's log, the platform and other entries.
///
/// A duty is a call to the platform that one entry at a time makes. Its claim is the newest record of one key in the platform's log. A record
/// is appended only if the log still ends where its writer last saw the end, so records form one chain, and the number of a holder follows from
/// the place of its record.
#pragma once

#include "membership/keyed_record.h"
#include "wisteriashunt/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wisteriashunt
{

/// Requests that began to run, by workspace.
using usage_counts = std::map<std::string, std::uint64_t>;

/// What an entry tells its peers of a duty. Small; sent at least each duty_claim_options::peerLifetime / 3 to every peer that may hold the
/// duty, and at once when number, reportedThrough or isAble changes.
struct duty_notice
{
    /// Name of the sender, under which it holds duties.
    std::string instance;
    /// The newest record that the sender knows of: its number (0 if it knows none) and the instance that wrote it.
    std::int64_t number = 0;
    std::string holder;
    /// Highest window whose counts are in a record, and up to which all of them were accepted or given up; -1 if none.
    std::int64_t fixedThrough = -1;
    std::int64_t reportedThrough = -1;
    /// Whether the sender can hold the duty: false if it is leaving, or its calls to the log or the platform have failed for a while.
    bool isAble = true;
    bool isLeaving = false;
    /// Whether the sender's process wrote the newest record that it knows of. An entry that started again does not hold what it held before.
    bool isHolding = false;
    /// Wall clock of the sender, as its machine tells it, in microseconds since 1970.
    std::int64_t wallMicroseconds = 0;

    bool operator==(const duty_notice &) const = default;
};

/// How complete one window of an entry is.
struct usage_window_total
{
    std::int64_t window = 0;
    /// Sum over all workspaces.
    std::uint64_t total = 0;
    /// Whether the window has ended and its counts do not rise any more.
    bool isFinal = false;

    bool operator==(const usage_window_total &) const = default;
};

/// One count. Counts are absolute and only rise, so that repeats and reordering do no harm.
struct usage_row
{
    std::int64_t window = 0;
    std::string workspace;
    std::uint64_t count = 0;

    bool operator==(const usage_row &) const = default;
};

/// Counts of one incarnation of an entry.
struct usage_digest
{
    /// Name of the entry that has counted, and a number that rises with its starts. Receivers also tell each other what entries have counted that
    /// are not heard any more, so the sender may be another one.
    std::string instance;
    std::uint64_t incarnation = 0;
    std::vector<usage_window_total> totals;
    /// Some of the counts: those that have changed, and others by turns.
    std::vector<usage_row> rows;

    bool operator==(const usage_digest &) const = default;
};

/// Read the newest record of the duty's key, and the end of its partition.
struct read_newest_action
{
    bool operator==(const read_newest_action &) const = default;
};

/// Append the value under the duty's key, on the condition that the partition ends at this offset.
struct append_record_action
{
    std::string value;
    std::int64_t end = 0;

    bool operator==(const append_record_action &) const = default;
};

/// Report the counts of a window to the platform. Ask mayCall() immediately before the bytes are written.
struct report_usage_action
{
    std::int64_t number = 0;
    std::int64_t window = 0;
    usage_counts counts;

    bool operator==(const report_usage_action &) const = default;
};

/// Order a number of endpoints of a service in an availability zone. Ask mayCall() immediately before the bytes are written.
struct order_endpoints_action
{
    std::int64_t number = 0;
    std::string service;
    std::string availabilityZone;
    int desired = 0;

    bool operator==(const order_endpoints_action &) const = default;
};

/// Store the value in the topic of counts, under the name of this entry, wherever the topic ends.
struct store_counts_action
{
    std::string value;

    bool operator==(const store_counts_action &) const = default;
};

/// Read what entries have stored in the topic of counts.
struct read_counts_action
{
    bool operator==(const read_counts_action &) const = default;
};

using duty_action =
    std::variant<read_newest_action, append_record_action, report_usage_action, order_endpoints_action, store_counts_action, read_counts_action>;

/// Answer to a read_newest_action.
struct newest_answer
{
    /// False if the read failed or was not answered in time. The other members are meaningless then.
    bool isAnswered = false;
    /// Newest record of the key; nullopt if there is none.
    std::optional<keyed_record> record;
    /// Offset after the last record of the partition, and the epoch that the answer names; 0 if it names none.
    std::int64_t end = 0;
    std::int64_t epoch = 0;
};

enum class append_outcome {
    /// The record was stored at the offset.
    stored,
    /// The partition ended elsewhere. Nothing was stored.
    condition_failed,
    /// The log refused for another reason. Nothing was stored.
    refused,
    /// No answer. The append may take effect later.
    unknown,
};

/// Answer to an append_record_action.
struct append_answer
{
    append_outcome outcome = append_outcome::unknown;
    /// Where the record was stored.
    std::int64_t offset = 0;
    std::int64_t epoch = 0;
};

/// Answer of the platform to a report or an order.
enum class call_outcome {
    accepted,
    /// Refused for good: repeating it is no use.
    refused,
    /// The platform has seen a higher number.
    superseded,
    /// Not now: too many calls, or the platform is unavailable. Nothing was done.
    busy,
    /// Not sent, because mayCall() forbade it.
    not_sent,
    /// No answer. The call may have taken effect. The connection has been closed, so that no later call can overtake it.
    unknown,
};

enum class duty_event_kind {
    /// This entry has stored a record and is the holder now, after another one or none.
    takeover,
    /// Another entry is the holder now.
    lost,
    /// A window was accepted by the platform.
    reported,
    /// A window was given up: refused, too late, or not known any more. The cause tells.
    missed,
    /// What was observed contradicts the claim: a number that does not rise, or a record that cannot be read.
    disagreement,
    /// This entry cannot hold the duty for a while, or can again.
    unable,
    able,
    /// The platform accepted an order, or refused it for good.
    ordered,
    order_refused,
};

/// For the log and the metrics.
struct duty_event
{
    duty_event_kind kind = duty_event_kind::takeover;
    std::int64_t number = 0;
    /// Window, or -1 if it concerns none.
    std::int64_t window = -1;
    /// Former holder on a takeover, the new one on a loss; otherwise empty.
    std::string holder;
    /// Why, in a few words.
    std::string cause;
    /// Sum of the counts of a reported window; desired endpoints of an order.
    std::uint64_t total = 0;
    /// Service and availability zone of an order; empty if it concerns none.
    std::string service;
    std::string availabilityZone;

    bool operator==(const duty_event &) const = default;
};

} // namespace wisteriashunt

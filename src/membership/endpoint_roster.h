/// The endpoints that may take requests, as described by the platform's list and with their health as observed by this entry.
#pragma once

#include "membership/endpoint_notices.h"
#include "membership/keyed_record.h"
#include "membership/record_order.h"
#include "net/byte_channel.h"
#include "wisteriashunt/time.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriashunt
{

/// One endpoint as the platform's list describes it.
struct endpoint_record
{
    std::string id;
    std::string service;
    socket_address address;
    std::string availabilityZone;
    /// Number of requests that the endpoint runs concurrently.
    int slots = 1;
    bool isDraining = false;
    /// Start of this incarnation, in milliseconds since the Unix epoch by the endpoint's clock; 0 if unknown.
    std::int64_t startedAtMilliseconds = 0;
    /// Increases with each record that the incarnation writes.
    std::int64_t sequence = 0;
    /// Version of the endpoint's software. Streams that endpoints of two versions write do not fit together.
    std::string softwareVersion;

    bool operator==(const endpoint_record &) const = default;
};

/// Outcome of a request that was sent to an endpoint.
enum class endpoint_outcome {
    answered,
    /// The endpoint answered with a failure of its own.
    failed,
    /// The endpoint stated that it did not run the request.
    did_not_run,
    /// The connection broke, or the data received was not a valid response.
    broken,
    /// The connection could not be established, or the peer stopped responding.
    unreachable,
};

[[nodiscard]] std::string_view toString(endpoint_outcome outcome);

/// Settings of endpoint_health.
struct health_options
{
    /// Weight of the newest outcome in the failure share.
    double smoothing = 0.15;
    /// Failure share above which an endpoint counts as failing. Healthy engines also fail a few percent of their requests.
    double failingThreshold = 0.35;
    /// First suspension of an unreachable endpoint; each further one is twice as long, up to maxSuspension.
    duration initialSuspension = std::chrono::milliseconds(500);
    duration maxSuspension = std::chrono::seconds(4);
};

/// Health of one endpoint. Derived from request outcomes alone, because health checks have false positives as well as false negatives.
class endpoint_health
{
public:
    /// Returns true if the outcome begins a suspension.
    bool report(endpoint_outcome outcome, time_point now, const health_options &options);

    [[nodiscard]] bool isSuspended(time_point now) const;
    /// Share of recent requests that failed, 0 to 1.
    [[nodiscard]] double failureShare() const;
    [[nodiscard]] bool isFailing(const health_options &options) const;

private:
    double m_failureShare = 0;
    duration m_suspension{};
    time_point m_suspendedUntil;
};

/// One endpoint with its health. Held by shared_ptr, because requests may outlive the endpoint's record in the list.
struct listed_endpoint
{
    endpoint_record record;
    endpoint_health health;
    /// True if the list no longer contains the endpoint, or contains a newer incarnation of it.
    bool isRemoved = false;
    /// What its answers have said. Set by endpoint_roster only.
    endpoint_notice notice;
    /// Whether an earlier record of the incarnation said that it leaves and the newest one does not.
    bool isDrainingByEarlierRecord = false;
    /// Hash of the ID, by which the endpoints of a service are ordered.
    std::uint64_t orderKey = 0;

    [[nodiscard]] endpoint_incarnation incarnation() const
    {
        return {.id = record.id, .startedAtMilliseconds = record.startedAtMilliseconds};
    }
    /// Whether the list or the endpoint itself says that it leaves.
    [[nodiscard]] bool isLeaving() const
    {
        return record.isDraining || notice.isLeaving;
    }
};

using endpoint_pointer = std::shared_ptr<listed_endpoint>;

/// All endpoints, by service. Endpoints of a service are ordered by a hash of their ID, so the order is the same at every entry.
class endpoint_roster
{
public:
    /// Applies a record of the list. A new incarnation replaces the old one and starts with fresh health, and an incarnation that has said that it
    /// leaves stays so. Returns true if anything but the sequence changed; outdated records are ignored, see isOutdated().
    bool apply(const endpoint_record &record, const std::optional<log_position> &place = std::nullopt);

    /// Whether the record was written before the newest one that was applied; see membership/record_order.h.
    [[nodiscard]] bool isOutdated(const endpoint_record &record, const std::optional<log_position> &place) const;

    /// Whether an outdated record is to be applied with readmit() if the list still has it once the record of an endpoint that has ended would have expired.
    [[nodiscard]] bool mayBeLive(const endpoint_record &record) const;
    /// Applies a record although it is outdated.
    void readmit(const endpoint_record &record, const std::optional<log_position> &place);

    /// Notes that the list no longer contains an endpoint that stays in use for a while.
    void noteRemoved(const std::string &id);
    /// Removes an endpoint that the list no longer contains. Returns false if it was unknown.
    bool remove(const std::string &id);

    /// Records that an incarnation has said that it leaves, or that a peer has heard it. Records of the list do not take this back. Returns
    /// false if it was known.
    bool noteLeaving(const endpoint_incarnation &incarnation, time_point now);
    /// Records that an incarnation wants no requests of this entry for the time from now on. Returns false if that changes nothing.
    bool notePause(const endpoint_incarnation &incarnation, duration pause, time_point now);

    /// Returns the listed endpoints that have said that they leave although their newest record does not say so.
    [[nodiscard]] std::vector<endpoint_incarnation> unlistedLeaving() const;
    /// Returns the number of listed endpoints that have asked this entry for a pause.
    [[nodiscard]] std::size_t pausedEndpoints(time_point now) const;
    /// Returns the listed endpoint at an address, other than the excluded one; nullptr if there is none. The newest incarnation if there are several.
    [[nodiscard]] endpoint_pointer atAddress(const socket_address &address, const std::string &excludedId) const;

    /// Returns the endpoints that the list contains for the service, including draining ones.
    [[nodiscard]] const std::vector<endpoint_pointer> &ofService(const std::string &service) const;

    /// Returns the listed endpoints by service. Services without endpoints may be among them.
    [[nodiscard]] const std::map<std::string, std::vector<endpoint_pointer>> &services() const
    {
        return m_services;
    }

    [[nodiscard]] endpoint_pointer find(const std::string &id) const;
    /// Returns the number of endpoints, listed or removed, whose newest record is tracked so that older copies can be ignored.
    [[nodiscard]] std::size_t trackedRecords() const
    {
        return m_lastRecords.size();
    }

    [[nodiscard]] std::size_t size() const;

    /// Called with each endpoint that is removed, replaced or begins to drain.
    std::function<void(const endpoint_pointer &)> onUnavailable = [](const endpoint_pointer &) {};

private:
    void unlink(const endpoint_pointer &endpoint);

    /// Copies what is known of the incarnation to the endpoint.
    void takeNotice(listed_endpoint &endpoint) const;

    /// Limits the number of tracked records of removed endpoints by evicting the oldest.
    void evictOldestRemovedRecord(const std::string &exceptId);

    std::map<std::string, endpoint_pointer> m_endpoints;
    endpoint_notices m_notices;
    std::map<std::string, last_record> m_lastRecords;
    std::map<std::string, std::vector<endpoint_pointer>> m_services;
};

} // namespace wisteriashunt

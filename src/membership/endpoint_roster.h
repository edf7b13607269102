/// The endpoints that may take requests: what the platform's list says of them and what this entry has seen of them.
#pragma once

#include "net/byte_channel.h"
#include "wisteriashunt/time.h"

#include <functional>
#include <map>
#include <memory>
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
    /// Requests that it runs at the same time.
    int slots = 1;
    bool isDraining = false;
    /// Start of this incarnation, in milliseconds since the Unix epoch by the endpoint's clock; 0 if unknown.
    std::int64_t startedAtMilliseconds = 0;
    /// Grows with each entry that the incarnation writes.
    std::int64_t sequence = 0;

    bool operator==(const endpoint_record &) const = default;
};

/// What became of something that was asked of an endpoint.
enum class endpoint_outcome {
    answered,
    /// It answered with a failure of its own.
    failed,
    /// It said that it did not run the request.
    rejected,
    /// The connection broke, or what came was no response.
    broken,
    /// The connection could not be made, or the peer fell silent.
    unreachable,
};

[[nodiscard]] std::string_view toString(endpoint_outcome outcome);

/// When an endpoint is taken out of use for a while.
struct health_options
{
    /// Weight of the newest outcome in the failure share.
    double smoothing = 0.15;
    /// Failure share from which an endpoint counts as failing; engines fail a few requests in a hundred on their own.
    double failingThreshold = 0.35;
    /// First suspension of an unreachable endpoint; each further one is twice as long.
    duration initialSuspension = std::chrono::milliseconds(500);
    duration maxSuspension = std::chrono::seconds(4);
};

/// Health of one endpoint from the outcomes of requests alone, because health checks can be wrong in both directions.
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

/// One endpoint with its health. Observers hold it by shared_ptr, so that requests may outlive its entry in the list.
struct listed_endpoint
{
    endpoint_record record;
    endpoint_health health;
    /// The list no longer names it.
    bool isRemoved = false;
};

using endpoint_pointer = std::shared_ptr<listed_endpoint>;

/// All endpoints, by service. The order inside a service is by id and the same at every entry.
class endpoint_roster
{
public:
    /// Takes in what the list says. A new incarnation replaces the old one with a clean record. Returns true if something changed.
    bool apply(const endpoint_record &record);

    /// The list no longer names the endpoint. Returns false if it was unknown.
    bool remove(const std::string &id);

    /// Endpoints that the list names for the service, those that leave among them.
    [[nodiscard]] const std::vector<endpoint_pointer> &ofService(const std::string &service) const;

    [[nodiscard]] endpoint_pointer find(const std::string &id) const;
    /// Endpoints, listed or gone, whose newest entry is remembered so that an older copy changes nothing.
    [[nodiscard]] std::size_t trackedRecords() const
    {
        return m_lastRecords.size();
    }

    [[nodiscard]] std::size_t size() const;

    /// Called with each endpoint that is gone, replaced or draining.
    std::function<void(const endpoint_pointer &)> onUnavailable = [](const endpoint_pointer &) {};

private:
    void unlink(const endpoint_pointer &endpoint);
    [[nodiscard]] bool isOutdated(const endpoint_record &record) const;

    /// Birth and last sequence of an incarnation, to tell an entry that arrives late from a new one.
    struct last_record
    {
        std::int64_t startedAtMilliseconds = 0;
        std::int64_t sequence = 0;
    };

    /// Bounds the memory of endpoints that are gone.
    void evictOldestRemovedRecord(const std::string &exceptId);

    std::map<std::string, endpoint_pointer> m_endpoints;
    std::map<std::string, last_record> m_lastRecords;
    std::map<std::string, std::vector<endpoint_pointer>> m_services;
};

} // namespace wisteriashunt

/// What endpoints say in their answers of the work that they still want: that they leave, or that this entry should pause.
///
/// A notice belongs to one incarnation of an endpoint. Nothing takes it back: records of the list may be older than the answer.
#pragma once

#include "wisteriashunt/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriashunt
{

/// One incarnation of an endpoint.
struct endpoint_incarnation
{
    std::string id;
    /// See endpoint_record::startedAtMilliseconds.
    std::int64_t startedAtMilliseconds = 0;

    auto operator<=>(const endpoint_incarnation &) const = default;
};

/// Notices of one incarnation.
struct endpoint_notice
{
    bool isLeaving = false;
    /// When this entry first learnt that it leaves.
    time_point leavingSince;
    /// End of the pause that the endpoint has asked this entry for; in the past if there is none.
    time_point pausedUntil;

    [[nodiscard]] bool isPaused(time_point now) const
    {
        return now < pausedUntil;
    }
    bool operator==(const endpoint_notice &) const = default;
};

/// Settings of endpoint_notices.
struct endpoint_notice_options
{
    /// Most incarnations with notices. Those that were told of first are forgotten first, unless a pause holds.
    std::size_t maxIncarnations = 4096;
    /// Time for which an incarnation that leaves is remembered. Longer than endpoints take to leave and than late records of the list arrive.
    duration leavingMemory = std::chrono::minutes(30);
};

/// Remembers the notices of endpoints. Not thread-safe.
class endpoint_notices
{
public:
    explicit endpoint_notices(const endpoint_notice_options &options = {});

    /// Records that the incarnation leaves. Returns false if that was known.
    bool noteLeaving(const endpoint_incarnation &incarnation, time_point now);
    /// Records that the incarnation wants no requests of this entry for the time from now on. Pauses that overlap end with the last one, since
    /// the endpoint has stated each of them. Returns false if the pause does not change what was known.
    bool notePause(const endpoint_incarnation &incarnation, duration pause, time_point now);

    [[nodiscard]] endpoint_notice of(const endpoint_incarnation &incarnation) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_notices.size();
    }

private:
    void discardOutdated(time_point now);

    struct known_notice
    {
        endpoint_notice notice;
        time_point notedAt;
    };

    endpoint_notice_options m_options;
    std::map<endpoint_incarnation, known_notice> m_notices;
};

} // namespace wisteriashunt

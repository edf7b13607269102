/// Estimates true time although the wall clocks of some machines jump.
#pragma once

#include "wisteriashunt/time.h"

#include <map>
#include <optional>
#include <string>

namespace wisteriashunt
{

/// Settings of true_time.
struct true_time_options
{
    /// Change of a wall clock against the steady clock that counts as a jump.
    duration jump = std::chrono::milliseconds(200);
    /// Time for which a clock that jumped is not believed as long as it is the only one.
    duration jumpMemory = std::chrono::minutes(10);
    /// Time since its last message after which a peer's clock does not count.
    duration peerLifetime = std::chrono::seconds(10);
    /// Rate at which the estimate follows small corrections, per second.
    double slew = 0.02;
    /// Larger corrections are followed at once.
    duration maxSlewed = std::chrono::seconds(1);
    /// Time for which dates of the platform bound the estimate.
    duration dateLifetime = std::chrono::seconds(30);
    /// Most peers that are remembered.
    std::size_t maxPeers = 512;
};

/// The median of the clocks of this machine, its peers and the platform. Wrong only if half of them are. Between two readings the clock that now
/// is taken from keeps time. Not thread-safe.
class true_time
{
public:
    true_time(const true_time_options &options, time_point now, time_point wall);

    /// Records a reading of this machine's wall clock.
    void onWall(time_point now, time_point wall);
    /// Records a reading of a peer's wall clock, which is older by the time that its message took.
    void onPeer(const std::string &peer, time_point wall, time_point now);
    /// Records a date, in whole seconds, that the platform named in an answer that came the time after the request.
    void onPlatformDate(time_point date, time_point now, duration took);

    /// Returns the estimate. It decreases only if the clocks that it was made from turn out to be wrong by more than maxSlewed.
    [[nodiscard]] time_point at(time_point now) const;
    /// Returns the estimate minus this machine's wall clock.
    [[nodiscard]] duration wallCorrection() const;

private:
    struct reading
    {
        duration offset{};
        time_point at;
    };

    [[nodiscard]] duration target(time_point now) const;

    true_time_options m_options;
    /// True time minus now, as estimated.
    duration m_offset;
    time_point m_followedAt;
    /// Wall clock minus now: as read last, as believed, and when it last jumped.
    duration m_wallOffset;
    duration m_believedOffset;
    std::optional<time_point> m_jumpedAt;
    std::map<std::string, reading> m_peers;
    /// Bounds of true time minus now that dates of the platform set.
    std::optional<reading> m_lower;
    std::optional<reading> m_upper;
};

} // namespace wisteriashunt

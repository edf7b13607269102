/// Counts the entries that share a quantity, such as a limit on the requests of all of them together.
#pragma once

#include "wisteriashunt/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace wisteriashunt
{

/// Settings of entry_census.
struct entry_census_options
{
    /// Number of entries to assume as long as no peer is known. More than small fleets have, because too large a share exceeds limits, and too
    /// small a one only leaves them unused until the first peer is heard.
    std::size_t assumedEntries = 8;
    /// Time for which a peer that is no longer heard counts while others are heard.
    duration peerMemory = std::chrono::seconds(30);
    /// Time for which all peers count while none is heard. An entry that is cut off must not assume that the others have stopped.
    duration isolatedPeerMemory = std::chrono::minutes(1);
};

/// Knows which peers were heard and when. Not thread-safe.
class entry_census
{
public:
    explicit entry_census(const entry_census_options &options = {});

    void onHeard(const std::string &peer, time_point now);

    /// Returns whether the peer has a share.
    [[nodiscard]] bool isCounted(const std::string &peer, time_point now) const;
    /// Returns the number of entries with a share, including this one.
    [[nodiscard]] std::size_t entries(time_point now) const;
    /// Returns whether any peer has a share.
    [[nodiscard]] bool knowsPeers(time_point now) const;

    /// Forgets peers that have no share any more.
    void discardOutdated(time_point now);

private:
    [[nodiscard]] bool isCounted(time_point heardAt, time_point now) const;

    entry_census_options m_options;
    std::map<std::string, time_point> m_heardAt;
    /// When any peer was heard last.
    time_point m_lastHeardAt;
};

} // namespace wisteriashunt

/// An entry's view of the endpoint processes: which are connected, alive or leaving, and their load.
#pragma once

#include "membership/core_events.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Settings of an endpoint_directory.
struct directory_options
{
    /// Time without messages after which an endpoint process is suspected to have failed and gets no new work.
    duration suspectAfter = std::chrono::milliseconds(1500);
    /// Time after a first suspicion before the endpoint process gets work again. Doubles with each further suspicion.
    duration initialHoldDown = std::chrono::seconds(1);
    duration maxHoldDown = std::chrono::seconds(30);
    /// Age from which suspicions no longer lengthen the hold-down.
    duration suspicionLifetime = std::chrono::minutes(5);
};

/// State of one endpoint process as seen by this entry.
struct endpoint_view
{
    std::string name;
    peer_id peer = 0;
    std::uint64_t incarnation = 0;
    bool connected = false;
    bool leaving = false;
    heartbeat load;
    time_point lastHeard;
    /// End of the hold-down; the process gets no new work before.
    time_point heldUntil;
    bool suspected = false;
    std::vector<time_point> suspicions;
};

/// Aggregate of all endpoint views. Liveness is derived from messages on the connections; the platform's list only says which endpoints are
/// leaving.
class endpoint_directory
{
public:
    explicit endpoint_directory(const directory_options &options);

    void connected(time_point now, const std::string &name, peer_id peer, std::uint64_t incarnation);

    /// Returns the name of the endpoint whose connection ended, or nothing if another connection has replaced it.
    std::optional<std::string> disconnected(time_point now, peer_id peer);

    void onPeerActivity(time_point now, peer_id peer);
    void onHeartbeat(time_point now, peer_id peer, const heartbeat &load);

    /// Replaces the set of endpoints that are leaving according to the platform's list.
    void setListedLeaving(const std::set<std::string> &names);

    /// Suspects the connected endpoints that have been silent for longer than suspectAfter. Returns those that were not suspected before.
    std::vector<std::string> suspectSilent(time_point now);

    /// Returns true if new work may go to the endpoint.
    [[nodiscard]] bool isUsable(time_point now, const std::string &name) const;

    /// Returns the view, or nullptr if the endpoint never connected.
    [[nodiscard]] const endpoint_view *find(const std::string &name) const;
    [[nodiscard]] const endpoint_view *findByPeer(peer_id peer) const;
    [[nodiscard]] const std::map<std::string, endpoint_view> &all() const;

private:
    endpoint_view *mutableByPeer(peer_id peer);
    void suspect(time_point now, endpoint_view &view);

    directory_options m_options;
    std::map<std::string, endpoint_view> m_views;
    std::map<peer_id, std::string> m_names;
    std::set<std::string> m_listedLeaving;
};

} // namespace wisteriashunt

#include "membership/endpoint_directory.h"

#include <algorithm>

namespace wisteriashunt
{

endpoint_directory::endpoint_directory(const directory_options &options)
    : m_options(options)
{
}

void endpoint_directory::connected(time_point now, const std::string &name, peer_id peer, std::uint64_t incarnation)
{
    auto &view = m_views[name];
    m_names.erase(view.peer);
    if (view.incarnation != incarnation) {
        // A new incarnation is a new process, so the suspicions of the previous one don't apply to it.
        view.suspicions.clear();
        view.heldUntil = {};
    }
    view.name = name;
    view.peer = peer;
    view.incarnation = incarnation;
    view.connected = true;
    view.leaving = false;
    view.load = {};
    view.lastHeard = now;
    view.suspected = false;
    m_names[peer] = name;
}

std::optional<std::string> endpoint_directory::disconnected(time_point now, peer_id peer)
{
    const auto found = m_names.find(peer);
    if (found == m_names.end()) {
        return std::nullopt;
    }
    const std::string name = found->second;
    m_names.erase(found);
    auto &view = m_views[name];
    view.connected = false;
    if (!view.suspected) {
        suspect(now, view);
    }
    return name;
}

void endpoint_directory::suspect(time_point now, endpoint_view &view)
{
    view.suspected = true;
    std::erase_if(view.suspicions, [&](time_point at) { return now - at > m_options.suspicionLifetime; });
    view.suspicions.push_back(now);
    constexpr std::size_t maxShift = 10;
    const auto doublings = std::min(view.suspicions.size() - 1, maxShift);
    const duration holdDown = std::min(m_options.initialHoldDown * (1 << doublings), m_options.maxHoldDown);
    view.heldUntil = now + holdDown;
}

void endpoint_directory::onPeerActivity(time_point now, peer_id peer)
{
    if (auto *view = mutableByPeer(peer)) {
        view->lastHeard = now;
        view->suspected = false;
    }
}

void endpoint_directory::onHeartbeat(time_point now, peer_id peer, const heartbeat &load)
{
    onPeerActivity(now, peer);
    if (auto *view = mutableByPeer(peer)) {
        view->load = load;
        view->leaving = load.leaving;
    }
}

void endpoint_directory::setListedLeaving(const std::set<std::string> &names)
{
    m_listedLeaving = names;
}

std::vector<std::string> endpoint_directory::suspectSilent(time_point now)
{
    std::vector<std::string> newlySuspected;
    for (auto &[name, view] : m_views) {
        if (view.connected && !view.suspected && now - view.lastHeard > m_options.suspectAfter) {
            suspect(now, view);
            newlySuspected.push_back(name);
        }
    }
    return newlySuspected;
}

bool endpoint_directory::isUsable(time_point now, const std::string &name) const
{
    const endpoint_view *view = find(name);
    return view != nullptr && view->connected && !view->suspected && !view->leaving && now >= view->heldUntil && !m_listedLeaving.contains(name);
}

const endpoint_view *endpoint_directory::find(const std::string &name) const
{
    const auto found = m_views.find(name);
    return found == m_views.end() ? nullptr : &found->second;
}

const endpoint_view *endpoint_directory::findByPeer(peer_id peer) const
{
    const auto found = m_names.find(peer);
    return found == m_names.end() ? nullptr : find(found->second);
}

const std::map<std::string, endpoint_view> &endpoint_directory::all() const
{
    return m_views;
}

endpoint_view *endpoint_directory::mutableByPeer(peer_id peer)
{
    const auto found = m_names.find(peer);
    return found == m_names.end() ? nullptr : &m_views.at(found->second);
}

} // namespace wisteriashunt

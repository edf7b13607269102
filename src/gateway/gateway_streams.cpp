// What an entry learns, and leaves behind, of streams that are taken up after all entries have ended.
#include "gateway/gateway.h"

#include <algorithm>

namespace wisteriashunt
{

void gateway::startStreamStore()
{
    const auto &settings = m_options.settings;
    const auto hasResumableRoutes = [this] {
        const auto isResumable = [](const route &each) { return each.kind == repeatability::stream && each.isResumable; };
        return m_context.table != nullptr && std::ranges::any_of(m_context.table->declarations().routes, isResumable);
    };
    m_streamStore = std::make_unique<stream_store>(
        m_loop,
        m_log,
        m_streams,
        m_options.logDialect,
        stream_store_options{.entry = settings.instance + "/" + toString(settings.callerAddress), .log = settings.logAddress},
        stream_store::hooks{.hasResumableRoutes = hasResumableRoutes, .liveEntries = [this] { return m_planner.liveEntries(m_loop.now()); }});
    m_endpointHistory = std::make_unique<endpoint_history>(
        m_loop,
        m_log,
        m_options.logDialect,
        endpoint_history_options{.topic = m_options.decoders.endpointsTopic, .log = settings.logAddress},
        endpoint_history::hooks{
            .isNeeded = [this, hasResumableRoutes] { return hasResumableRoutes() && !isCatchingUpWithPeers() && !m_streams.isHistoryWhole(m_loop.now()); },
            .position = [this] { return m_endpointsFollower.position(); },
            .decode = m_options.decoders.endpoint,
            .onHistory = [this](const version_history &history) { m_streams.onHistory(history.versions(), history.knownFor(), m_loop.now()); }});
}

void gateway::readList(std::function<void(bool isRead)> onRead)
{
    m_endpointsFollower.readNow([this, onRead = std::move(onRead)](bool isRead) {
        const auto peers = isRead || m_peers == nullptr ? std::vector<socket_address>{} : m_peers->livePeers();
        if (peers.empty()) {
            onRead(isRead);
        } else {
            m_peerRecords->fetchFresh(m_endpointsFollower, peers, onRead);
        }
    });
}

void gateway::onListMerged(const std::optional<stream_digest> &versions, bool hasPassedOver)
{
    if (hasPassedOver) {
        m_streams.onPassedOver(versions, m_loop.now());
    } else if (versions) {
        m_streams.onPeerVersions(*versions, m_loop.now());
    }
}

void gateway::onStreamTick()
{
    m_streams.observeVersions(m_loop.now());
    m_streamStore->onTick();
    m_endpointHistory->onTick();
}

} // namespace wisteriashunt

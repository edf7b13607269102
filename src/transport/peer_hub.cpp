#include "transport/peer_hub.h"

#include "wisteriashunt/errors.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wisteriashunt
{

namespace
{

/// Sockets and outbound frames wake the thread at once. The interval only limits how late it closes a silent connection or dials again.
constexpr int pollIntervalMs = 100;
constexpr int listenBacklog = 1024;
constexpr std::size_t readBufferBytes = 65536;
/// Tags of epoll events that belong to no connection. The identifiers of connections start at 1.
constexpr std::uint64_t listenerTag = 0;
constexpr std::uint64_t wakeupTag = ~std::uint64_t{0};
constexpr duration maxDrainTime = std::chrono::seconds(1);
/// Pause while events wait to be accepted. Unread sockets stay readable, so `epoll_wait` alone would return at once.
constexpr duration deliveryRetryInterval = std::chrono::milliseconds(1);

sockaddr_in toSocketAddress(const peer_address &address)
{
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(static_cast<std::uint16_t>(address.port));
    if (inet_pton(AF_INET, address.host.c_str(), &socketAddress.sin_addr) != 1) {
        throw shunt_error(error_kind::peer_rejected, "expected an IPv4 address of a peer, found " + address.host);
    }
    return socketAddress;
}

int openListener(const peer_address &address)
{
    const sockaddr_in socketAddress = toSocketAddress(address);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const bool isBound = bind(listener, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof socketAddress) == 0;
    if (!isBound || listen(listener, listenBacklog) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(listener);
        throw shunt_error(error_kind::peer_rejected, "cannot listen on " + address.host + ":" + std::to_string(address.port) + ": " + reason);
    }
    return listener;
}

void setNoDelay(int socket)
{
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

} // namespace

struct peer_hub::connection
{
    enum class stage {
        connecting,
        awaiting_hello,
        awaiting_welcome,
        awaiting_proof,
        established,
    };
    peer_id id = 0;
    int socket = -1;
    stage state = stage::connecting;
    bool isDialled = false;
    peer_address target;
    peer_identity identity;
    hello ownHello;
    hello peerHello;
    welcome ownWelcome;
    frame_decoder decoder;
    std::string outgoing;
    std::size_t written = 0;
    bool wantsWrite = false;
    time_point openedAt;
    time_point lastReceivedAt;
};

peer_hub::peer_hub(const peer_hub_options &options, const clock_source &clock)
    : m_options(options)
    , m_clock(clock)
    , m_outboundFrames(options.ringCapacity)
    , m_keys(options.keys)
{
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    m_wakeup = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    epoll_event wakeup{.events = EPOLLIN, .data = {.u64 = wakeupTag}};
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &wakeup);
    if (m_options.listen.port != 0) {
        m_listener = openListener(m_options.listen);
        epoll_event listener{.events = EPOLLIN, .data = {.u64 = listenerTag}};
        epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_listener, &listener);
    }
}

peer_hub::~peer_hub()
{
    stop();
    for (const auto &[id, peer] : m_connections) {
        ::close(peer->socket);
    }
    if (m_listener >= 0) {
        ::close(m_listener);
    }
    ::close(m_wakeup);
    ::close(m_epoll);
}

void peer_hub::start()
{
    m_thread = std::thread([this] { run(); });
}

void peer_hub::stop()
{
    m_isStopping = true;
    m_outboundFrames.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void peer_hub::send(peer_id peer, const message &content)
{
    m_outboundFrames.push({.peer = peer, .frame = encodeFrame(content)});
    if (!m_isWakeupPending.exchange(true)) {
        const std::uint64_t increment = 1;
        [[maybe_unused]] const auto count = ::write(m_wakeup, &increment, sizeof increment);
    }
}

void peer_hub::setTargets(const std::set<peer_address> &targets)
{
    const absl::MutexLock lock(&m_mutex);
    m_targets = targets;
}

void peer_hub::setKeys(const std::vector<peer_key> &keys)
{
    const absl::MutexLock lock(&m_mutex);
    m_keys = keys;
}

std::vector<peer_key> peer_hub::keys() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_keys;
}

void peer_hub::run()
{
    constexpr int maxEvents = 64;
    std::array<epoll_event, maxEvents> events{};
    time_point drainDeadline = time_point::max();
    while (true) {
        const int count = epoll_wait(m_epoll, events.data(), maxEvents, pollIntervalMs);
        writeOutboundFrames();
        const bool mayRead = flushUndelivered();
        for (int i = 0; i < count; ++i) {
            const auto &event = events.at(static_cast<std::size_t>(i));
            if (event.data.u64 == listenerTag) {
                accept();
                continue;
            }
            const auto found = m_connections.find(event.data.u64);
            if (found == m_connections.end()) {
                continue;
            }
            if ((event.events & EPOLLOUT) != 0) {
                write(*found->second);
            }
            if (mayRead && (event.events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && m_connections.contains(event.data.u64)) {
                read(*m_connections.at(event.data.u64));
            }
        }
        if (!mayRead) {
            std::this_thread::sleep_for(deliveryRetryInterval);
        }
        closeTimedOut();
        dialUnconnectedTargets();
        if (m_isStopping) {
            drainDeadline = std::min(drainDeadline, m_clock.now() + maxDrainTime);
            const bool isDrained = std::all_of(m_connections.begin(), m_connections.end(), [](const auto &item) { return item.second->outgoing.empty(); });
            if (isDrained || m_clock.now() >= drainDeadline) {
                return;
            }
        }
    }
}

void peer_hub::writeOutboundFrames()
{
    std::uint64_t ignored = 0;
    [[maybe_unused]] const auto count = ::read(m_wakeup, &ignored, sizeof ignored);
    m_isWakeupPending = false;
    std::set<peer_id> peersWithFrames;
    for (auto &item : m_outboundFrames.popAll(duration::zero())) {
        const auto found = m_connections.find(item.peer);
        if (found != m_connections.end() && found->second->state == connection::stage::established) {
            found->second->outgoing.append(item.frame);
            peersWithFrames.insert(item.peer);
        }
    }
    for (const peer_id peer : peersWithFrames) {
        write(*m_connections.at(peer));
    }
}

bool peer_hub::flushUndelivered()
{
    while (!m_undelivered.empty()) {
        if (!m_options.deliver(m_undelivered.front())) {
            return false;
        }
        m_undelivered.pop_front();
    }
    return true;
}

void peer_hub::deliver(hub_event event)
{
    m_undelivered.push_back(std::move(event));
    flushUndelivered();
}

void peer_hub::accept()
{
    while (true) {
        const int socket = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        setNoDelay(socket);
        auto newConnection = std::make_unique<connection>();
        newConnection->id = m_nextPeer++;
        newConnection->socket = socket;
        newConnection->state = connection::stage::awaiting_hello;
        newConnection->openedAt = newConnection->lastReceivedAt = m_clock.now();
        epoll_event event{.events = EPOLLIN, .data = {.u64 = newConnection->id}};
        epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
        m_connections.emplace(newConnection->id, std::move(newConnection));
    }
}

void peer_hub::dialUnconnectedTargets()
{
    std::set<peer_address> targets;
    {
        const absl::MutexLock lock(&m_mutex);
        targets = m_targets;
    }
    for (const auto &[id, peer] : m_connections) {
        targets.erase(peer->target);
    }
    const time_point now = m_clock.now();
    for (const auto &target : targets) {
        if (now >= m_nextDial[target]) {
            m_nextDial[target] = now + m_options.redialInterval;
            dial(target);
        }
    }
}

void peer_hub::dial(const peer_address &address)
{
    const sockaddr_in socketAddress = toSocketAddress(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setNoDelay(socket);
    const int result = connect(socket, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof socketAddress);
    if (result != 0 && errno != EINPROGRESS) {
        ::close(socket);
        return;
    }
    auto newConnection = std::make_unique<connection>();
    newConnection->id = m_nextPeer++;
    newConnection->socket = socket;
    newConnection->isDialled = true;
    newConnection->target = address;
    newConnection->openedAt = newConnection->lastReceivedAt = m_clock.now();
    newConnection->wantsWrite = true;
    epoll_event event{.events = EPOLLIN | EPOLLOUT, .data = {.u64 = newConnection->id}};
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
    m_connections.emplace(newConnection->id, std::move(newConnection));
}

void peer_hub::updatePollInterest(connection &peer)
{
    const bool wantsWrite = !peer.outgoing.empty() || peer.state == connection::stage::connecting;
    if (wantsWrite == peer.wantsWrite) {
        return;
    }
    peer.wantsWrite = wantsWrite;
    epoll_event event{.events = wantsWrite ? EPOLLIN | EPOLLOUT : EPOLLIN, .data = {.u64 = peer.id}};
    epoll_ctl(m_epoll, EPOLL_CTL_MOD, peer.socket, &event);
}

void peer_hub::write(connection &peer)
{
    if (peer.state == connection::stage::connecting) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(peer.socket, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            close(peer.id);
            return;
        }
        peer.state = connection::stage::awaiting_welcome;
        const auto currentKeys = keys();
        peer.ownHello = {.instance = m_options.self.instance,
                         .incarnation = m_options.self.incarnation,
                         .keyName = currentKeys.empty() ? "" : currentKeys.front().name,
                         .nonce = makeNonce()};
        enqueue(peer, peer.ownHello);
    }
    while (peer.written < peer.outgoing.size()) {
        const auto count = ::send(peer.socket, peer.outgoing.data() + peer.written, peer.outgoing.size() - peer.written, MSG_NOSIGNAL);
        if (count > 0) {
            peer.written += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EAGAIN || errno == EINTR) {
            break;
        }
        close(peer.id);
        return;
    }
    peer.outgoing.erase(0, peer.written);
    peer.written = 0;
    if (peer.outgoing.size() > m_options.maxBacklogBytes) {
        close(peer.id);
        return;
    }
    updatePollInterest(peer);
}

void peer_hub::read(connection &peer)
{
    static thread_local std::array<char, readBufferBytes> buffer;
    const peer_id id = peer.id;
    while (true) {
        const auto count = recv(peer.socket, buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (count <= 0) {
            close(id);
            return;
        }
        peer.lastReceivedAt = m_clock.now();
        try {
            for (auto &content : peer.decoder.feed({buffer.data(), static_cast<std::size_t>(count)})) {
                onMessage(peer, content);
                if (!m_connections.contains(id)) {
                    return;
                }
            }
        } catch (const shunt_error &error) {
            reject(peer, error.what());
            return;
        }
        if (!m_undelivered.empty() || static_cast<std::size_t>(count) < buffer.size()) {
            return;
        }
    }
}

void peer_hub::onMessage(connection &peer, message &content)
{
    if (peer.state != connection::stage::established) {
        onHandshake(peer, content);
        return;
    }
    deliver({.type = hub_event::event_type::received, .peer = peer.id, .identity = {}, .content = std::move(content), .detail = {}});
}

void peer_hub::onHandshake(connection &peer, const message &content)
{
    const auto currentKeys = keys();
    if (const auto *receivedHello = std::get_if<hello>(&content); receivedHello != nullptr && peer.state == connection::stage::awaiting_hello) {
        const peer_key *key = findKey(currentKeys, receivedHello->keyName);
        if (key == nullptr || receivedHello->protocol != protocolVersion) {
            reject(peer, "unknown key or protocol version from " + receivedHello->instance);
            return;
        }
        peer.peerHello = *receivedHello;
        peer.ownWelcome = {.instance = m_options.self.instance,
                           .endpointName = m_options.self.endpointName,
                           .incarnation = m_options.self.incarnation,
                           .nonce = makeNonce(),
                           .proof = {}};
        peer.ownWelcome.proof = makeAcceptorProof(*key, peer.peerHello, peer.ownWelcome);
        peer.state = connection::stage::awaiting_proof;
        enqueue(peer, peer.ownWelcome);
        write(peer);
        return;
    }
    if (const auto *receivedWelcome = std::get_if<welcome>(&content); receivedWelcome != nullptr && peer.state == connection::stage::awaiting_welcome) {
        const peer_key *key = findKey(currentKeys, peer.ownHello.keyName);
        if (key == nullptr || !isSameProof(receivedWelcome->proof, makeAcceptorProof(*key, peer.ownHello, *receivedWelcome))) {
            reject(peer, "wrong proof from " + receivedWelcome->instance);
            return;
        }
        peer.identity = {.instance = receivedWelcome->instance, .endpointName = receivedWelcome->endpointName, .incarnation = receivedWelcome->incarnation};
        enqueue(peer, hello_proof{.proof = makeDiallerProof(*key, peer.ownHello, *receivedWelcome)});
        establish(peer);
        write(peer);
        return;
    }
    if (const auto *proof = std::get_if<hello_proof>(&content); proof != nullptr && peer.state == connection::stage::awaiting_proof) {
        const peer_key *key = findKey(currentKeys, peer.peerHello.keyName);
        if (key == nullptr || !isSameProof(proof->proof, makeDiallerProof(*key, peer.peerHello, peer.ownWelcome))) {
            reject(peer, "wrong proof from " + peer.peerHello.instance);
            return;
        }
        peer.identity = {.instance = peer.peerHello.instance, .endpointName = {}, .incarnation = peer.peerHello.incarnation};
        establish(peer);
        return;
    }
    reject(peer, "unexpected message during the handshake");
}

void peer_hub::enqueue(connection &peer, const message &content)
{
    peer.outgoing.append(encodeFrame(content));
}

void peer_hub::establish(connection &peer)
{
    peer.state = connection::stage::established;
    deliver({.type = hub_event::event_type::up, .peer = peer.id, .identity = peer.identity, .content = {}, .detail = {}});
}

void peer_hub::reject(connection &peer, const std::string &detail)
{
    const peer_id id = peer.id;
    deliver({.type = hub_event::event_type::rejected, .peer = id, .identity = peer.identity, .content = {}, .detail = detail});
    close(id);
}

void peer_hub::close(peer_id peer)
{
    const auto found = m_connections.find(peer);
    if (found == m_connections.end()) {
        return;
    }
    const bool wasEstablished = found->second->state == connection::stage::established;
    ::close(found->second->socket);
    m_connections.erase(found);
    if (wasEstablished) {
        deliver({.type = hub_event::event_type::down, .peer = peer, .identity = {}, .content = {}, .detail = {}});
    }
}

void peer_hub::closeTimedOut()
{
    const time_point now = m_clock.now();
    std::vector<peer_id> timedOut;
    for (const auto &[id, peer] : m_connections) {
        const bool isEstablished = peer->state == connection::stage::established;
        const bool isSilent = now - peer->lastReceivedAt > m_options.silenceTimeout;
        const bool isHandshakeTimedOut = !isEstablished && now - peer->openedAt > m_options.handshakeTimeout;
        if (isHandshakeTimedOut || (isEstablished && isSilent)) {
            timedOut.push_back(id);
        }
    }
    for (const peer_id id : timedOut) {
        close(id);
    }
}

} // namespace wisteriashunt

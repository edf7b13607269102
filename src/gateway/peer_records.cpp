#include "gateway/peer_records.h"

#include "gateway/entry_message.h"
#include "membership/bounded_unpack.h"
#include "wisteriashunt/errors.h"

#include <algorithm>
#include <tuple>

namespace wisteriashunt
{

namespace
{

/// The last member of each is the epoch. Entries of earlier versions send none, which reads as epoch 0, and skip those that they receive.
using packed_record = std::tuple<std::string, std::string, std::int64_t, std::int64_t>;
/// Age, time since the last failure, time since the last reading began and time for which removals are held, in milliseconds, as far as known.
using packed_currency = std::vector<std::int64_t>;
/// The last members are what the sender knows of software versions, as an entry_message that holds nothing else and is empty if it is not
/// known, and whether the topic was read for this answer. Entries of earlier versions skip them.
using packed_snapshot = std::tuple<std::int64_t, std::vector<packed_record>, std::int64_t, packed_currency, std::string, bool>;

constexpr std::string_view recordsPath = "/records/";
/// Names the place in the log up to which the caller knows the records. If it is that of the answering entry, the answer has none. Without it, the
/// answer has all.
constexpr std::string_view knownParameter = "?known=";
/// Asks for an answer by records that are read after the call. Entries of earlier versions answer without.
constexpr std::string_view freshParameter = "&fresh=1";
constexpr std::chrono::milliseconds connectTimeout{300};
/// Most connections of other entries, and the bounds of their requests.
constexpr std::size_t maxPeerCallers = 256;
constexpr request_bounds peerRequestBounds{.headBytes = 2 * 1024, .bodyBytes = 0};
constexpr int okStatus = 200;
constexpr int notFoundStatus = 404;
constexpr int unavailableStatus = 503;

duration unpackAge(std::int64_t value)
{
    constexpr std::int64_t maxMilliseconds = 86'400'000;
    if (value < 0) {
        throw shunt_error(error_kind::malformed_frame, "snapshot: expected an age from 0 on, found " + std::to_string(value));
    }
    return std::chrono::milliseconds(std::min(value, maxMilliseconds));
}

void answerStatus(caller_connection &caller, int status)
{
    std::string head;
    appendResponseHead(head, status, reasonPhrase(status), {});
    caller.answer(std::move(head), {});
}

/// Returns "EPOCH.OFFSET", by which an entry states what it knows.
std::string toString(const log_position &position)
{
    return std::to_string(position.epoch) + "." + std::to_string(position.offset);
}

std::string recordsRequest(const log_follower &follower, const socket_address &peer, std::string_view parameters)
{
    return "GET " + std::string(recordsPath) + follower.topic() + std::string(parameters) + " HTTP/1.1\r\nHost: " + wisteriashunt::toString(peer) + "\r\n\r\n";
}

/// Returns the parameter that states what the follower knows.
std::string knownBy(const log_follower &follower)
{
    return std::string(knownParameter) + toString(follower.position());
}

} // namespace

std::string encodeSnapshot(const peer_snapshot &peer)
{
    const auto &snapshot = peer.records;
    const auto pack = [](duration value) { return std::chrono::duration_cast<std::chrono::milliseconds>(value).count(); };
    packed_currency currency;
    if (peer.currency) {
        currency = {pack(peer.currency->age), pack(peer.currency->sinceFailure)};
        if (peer.currency->sinceAsked) {
            currency.push_back(pack(*peer.currency->sinceAsked));
            if (peer.currency->holdsFor) {
                currency.push_back(pack(*peer.currency->holdsFor));
            }
        }
    }
    const auto versions = peer.versions ? encodeEntryMessage({.streams = *peer.versions}) : std::string();
    std::vector<packed_record> records;
    for (const auto &record : snapshot.records) {
        records.emplace_back(record.key, record.value.value_or(""), record.offset, record.epoch);
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, packed_snapshot{snapshot.next, records, snapshot.epoch, currency, versions, peer.isFresh});
    return {buffer.data(), buffer.size()};
}

peer_snapshot decodeSnapshot(std::string_view bytes)
{
    try {
        const auto handle = unpackBounded(bytes);
        const auto [next, records, epoch, currency, versions, isFresh] = handle.get().as<packed_snapshot>();
        peer_snapshot peer{.records = {.next = next, .epoch = epoch}, .isFresh = isFresh};
        auto &snapshot = peer.records;
        for (const auto &[key, value, offset, recordEpoch] : records) {
            snapshot.records.push_back({.key = key, .value = value, .offset = offset, .epoch = recordEpoch});
        }
        constexpr std::size_t currencyMembers = 2;
        if (currency.size() >= currencyMembers) {
            peer.currency = {.age = unpackAge(currency[0]), .sinceFailure = unpackAge(currency[1])};
        }
        if (currency.size() > currencyMembers) {
            peer.currency->sinceAsked = unpackAge(currency[currencyMembers]);
        }
        if (currency.size() > currencyMembers + 1) {
            peer.currency->holdsFor = unpackAge(currency[currencyMembers + 1]);
        }
        if (!versions.empty()) {
            peer.versions = decodeEntryMessage(versions).streams;
        }
        return peer;
    } catch (const msgpack::type_error &) {
        throw shunt_error(error_kind::malformed_frame, "snapshot: a member has an unexpected type");
    } catch (const msgpack::unpack_error &) {
        throw shunt_error(error_kind::malformed_frame, "snapshot: " + std::to_string(bytes.size()) + " bytes are not valid msgpack");
    }
}

peer_records::peer_records(event_loop &loop, event_log &log, const peer_records_options &options, std::vector<log_follower *> followers, hooks callbacks)
    : m_loop(loop)
    , m_log(log)
    , m_options(options)
    , m_followers(std::move(followers))
    , m_hooks(std::move(callbacks))
    , m_callerHooks(std::make_shared<caller_hooks>(caller_hooks{.onRequest = [this](const auto &caller, received_request &&request) { serve(caller, request); },
                                                                .onDisconnected = [](caller_connection &) {},
                                                                .onClosed = [this](caller_connection &caller) { m_callers.release(m_loop, caller); },
                                                                .onFault = [](const auto &caller, read_fault) { caller->abort(); }}))
    , m_callerLimit(maxPeerCallers, [](std::string_view) {})
    , m_listener(std::make_unique<channel_listener>(loop, options.self, [this](int descriptor) {
        if (m_callerLimit.admit(m_callers, descriptor)) {
            m_callers.add(caller_connection::adopt(m_loop, descriptor, {.bounds = peerRequestBounds}, m_callerHooks));
        }
    }))
{
}

void peer_records::serve(const std::shared_ptr<caller_connection> &caller, const received_request &request)
{
    const auto question = std::min(request.target.find('?'), request.target.size());
    const auto path = request.target.substr(0, question);
    const auto follower =
        std::find_if(m_followers.begin(), m_followers.end(), [&](const log_follower *each) { return path == std::string(recordsPath) + each->topic(); });
    if (follower == m_followers.end()) {
        answerStatus(*caller, notFoundStatus);
        return;
    }
    auto &topic = **follower;
    auto query = request.target.substr(question);
    const bool wantsFresh = query.ends_with(freshParameter);
    query.resize(query.size() - (wantsFresh ? freshParameter.size() : 0));
    const auto isUpToDate = [&topic, query] {
        const auto position = topic.position();
        return position.offset >= 0 && query == std::string(knownParameter) + toString(position);
    };
    if (!wantsFresh) {
        answer(*caller, topic, isUpToDate(), false);
        return;
    }
    topic.readNow([this, weak = std::weak_ptr(caller), &topic, isUpToDate](bool isRead) {
        const auto waiting = weak.lock();
        if (waiting == nullptr) {
            return;
        }
        if (isRead) {
            answer(*waiting, topic, isUpToDate(), true);
        } else {
            answerStatus(*waiting, unavailableStatus);
        }
    });
}

void peer_records::answer(caller_connection &caller, const log_follower &follower, bool isUpToDate, bool isFresh) const
{
    const auto position = follower.position();
    const auto records = isUpToDate ? keyed_snapshot{.next = position.offset, .epoch = position.epoch} : follower.snapshot();
    std::string head;
    appendResponseHead(head, okStatus, reasonPhrase(okStatus), {});
    caller.answer(std::move(head),
                  encodeSnapshot({.records = records, .currency = follower.currency(), .versions = m_hooks.versionsOf(follower.topic()), .isFresh = isFresh}));
}

void peer_records::merge(log_follower &follower, const peer_snapshot &received, duration sinceCall)
{
    if (received.records.records.empty() && follower.position() != received.records.position()) {
        throw shunt_error(error_kind::malformed_frame, "outdated_answer");
    }
    auto currency = received.currency;
    if (currency && currency->sinceAsked) {
        // The peer may have answered at any time since the call.
        *currency->sinceAsked += sinceCall;
    }
    const bool hasPassedOver = follower.merge(received.records, currency, sinceCall);
    m_hooks.onMerged(follower.topic(), received.versions, hasPassedOver);
}

void peer_records::fetchFresh(log_follower &follower, const std::vector<socket_address> &peers, std::function<void(bool isRead)> onRead)
{
    auto &state = m_fresh[follower.topic()];
    state.peers = peers;
    state.demands.push_back(std::move(onRead));
    if (state.served.empty()) {
        beginFresh(follower, state);
    }
}

void peer_records::beginFresh(log_follower &follower, fresh_state &state)
{
    state.served = std::exchange(state.demands, {});
    state.attempts = 0;
    tryNextPeer(follower, state);
}

void peer_records::tryNextPeer(log_follower &follower, fresh_state &state)
{
    if (state.attempts == std::min<int>(m_options.maxFreshAttempts, static_cast<int>(state.peers.size()))) {
        endFresh(follower, state, false);
        return;
    }
    ++state.attempts;
    const auto peer = state.peers[m_nextPeer++ % state.peers.size()];
    if (state.client != nullptr) {
        m_loop.retire(std::shared_ptr<bounded_client>(std::move(state.client)));
    }
    state.client = std::make_unique<bounded_client>(
        m_loop, bounded_client_options{.server = peer, .connectTimeout = connectTimeout, .maxAnswerBytes = m_options.maxAnswerBytes});
    state.calledAt = m_loop.now();
    const auto fail = [this, &follower, &state, peer](const std::string &reason) {
        m_log.write(event_number::peer_down, {{"peer", wisteriashunt::toString(peer)}, {"reason", reason}});
        tryNextPeer(follower, state);
    };
    const auto onAnswer = [this, &follower, &state, fail](const http_response_head &head, const std::string &body) {
        if (head.status != okStatus) {
            fail("status_" + std::to_string(head.status));
            return;
        }
        try {
            const auto received = decodeSnapshot(body);
            if (!received.isFresh) {
                fail("not_fresh");
                return;
            }
            merge(follower, received, m_loop.now() - state.calledAt);
            if (follower.position() < received.records.position()) {
                fail("outdated_answer");
                return;
            }
        } catch (const shunt_error &error) {
            fail(error.what());
            return;
        }
        endFresh(follower, state, true);
    };
    state.client->call(recordsRequest(follower, peer, knownBy(follower) + std::string(freshParameter)),
                       m_options.freshTimeout,
                       {.onAnswer = onAnswer, .onFailure = [fail](const failed_call &failed) { fail(failed.reason); }});
}

void peer_records::endFresh(log_follower &follower, fresh_state &state, bool isRead)
{
    const auto served = std::exchange(state.served, {});
    for (const auto &demand : served) {
        demand(isRead);
    }
    if (state.served.empty() && !state.demands.empty()) {
        beginFresh(follower, state);
    }
}

void peer_records::notePeerAhead(const std::string &topic)
{
    auto &state = m_topics[topic];
    if (state.aheadSince == time_point{}) {
        state.aheadSince = m_loop.now();
    }
}

void peer_records::noteCaughtUp(const std::string &topic)
{
    m_topics[topic].aheadSince = {};
}

bool peer_records::isDue(const log_follower &follower, const topic_state &state, bool hasReaders) const
{
    const bool isBehind = state.aheadSince != time_point{} && m_loop.now() - state.aheadSince > m_options.catchUpDelay;
    const bool isWanted = isBehind || hasReaders || !follower.isReachable();
    const auto period = isBehind || !follower.isReachable() ? m_options.period : m_options.readerPeriod;
    return isWanted && state.connection == nullptr && m_loop.now() - state.lastFetch > period;
}

void peer_records::fetchIfDue(const std::vector<socket_address> &peers, const std::vector<socket_address> &readers)
{
    const auto &asked = readers.empty() ? peers : readers;
    if (asked.empty()) {
        return;
    }
    for (auto *follower : m_followers) {
        auto &state = m_topics[follower->topic()];
        if (isDue(*follower, state, !readers.empty())) {
            fetch(*follower, state, asked[m_nextPeer++ % asked.size()]);
        }
    }
}

void peer_records::fetch(log_follower &follower, topic_state &state, const socket_address &peer)
{
    state.lastFetch = m_loop.now();
    state.connection = upstream_connection::open(m_loop, peer, {.connectTimeout = connectTimeout});
    const auto end = [this, &state] {
        m_loop.cancel(state.timeout);
        state.connection->close();
        m_loop.retire(std::exchange(state.connection, nullptr));
    };
    const auto fail = [this, end, peer](const std::string &reason) {
        m_log.write(event_number::peer_down, {{"peer", wisteriashunt::toString(peer)}, {"reason", reason}});
        end();
    };
    state.timeout = m_loop.schedule(m_loop.now() + m_options.timeout, [fail] { fail("timeout"); });
    const auto status = std::make_shared<int>(0);
    const auto body = std::make_shared<std::string>();
    // If the log has brought an outdated record last, a peer at the same place may still know a newer one.
    const bool wantsAll = state.aheadSince != time_point{};
    state.connection->send(recordsRequest(follower, peer, wantsAll ? std::string() : knownBy(follower)),
                           {.onHead =
                                [status](http_response_head &head) {
                                    *status = head.status;
                                    return true;
                                },
                            .onBody =
                                [this, body, fail](std::string_view bytes) {
                                    body->append(bytes);
                                    if (body->size() > m_options.maxAnswerBytes) {
                                        fail("answer_too_large");
                                    }
                                },
                            .onComplete =
                                [this, &follower, &state, status, body, end, fail] {
                                    if (*status != okStatus) {
                                        fail("status_" + std::to_string(*status));
                                        return;
                                    }
                                    try {
                                        merge(follower, decodeSnapshot(*body), m_loop.now() - state.lastFetch);
                                        end();
                                    } catch (const shunt_error &error) {
                                        fail(error.what());
                                    }
                                },
                            .onFailure = [fail](exchange_failure failure, close_reason) { fail(std::string(toString(failure))); }});
}

} // namespace wisteriashunt

/// Messages between entry and endpoint processes. Each message is sent as one length-prefixed msgpack frame.
#pragma once

#include "wisteriashunt/resources.h"
#include "wisteriashunt/time.h"

#include <msgpack.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <variant>

namespace wisteriashunt
{

/// Version of the frame protocol. Connections from peers with another version are rejected.
constexpr std::uint32_t protocolVersion = 1;

/// Identifies a request: the incarnation of the entry that received it and a sequence number that is unique within that incarnation.
struct request_id
{
    std::uint64_t entry = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const request_id &) const = default;
    MSGPACK_DEFINE(entry, sequence)
};

/// Returns the identifier in the form "entry-sequence", both hexadecimal.
[[nodiscard]] std::string toString(const request_id &id);

/// Identifies one attempt to run a request. A message about an older attempt has no effect on a newer one.
struct attempt_id
{
    request_id request;
    std::uint32_t attempt = 0;

    auto operator<=>(const attempt_id &) const = default;
    MSGPACK_DEFINE(request, attempt)
};

/// First message of the handshake, sent by the connecting process.
struct hello
{
    std::uint32_t protocol = protocolVersion;
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string keyName;
    std::string nonce;

    auto operator<=>(const hello &) const = default;
    MSGPACK_DEFINE(protocol, instance, incarnation, keyName, nonce)
};

/// Reply of the accepting process. `proof` is an HMAC over the handshake transcript, which includes both nonces.
struct welcome
{
    std::uint32_t protocol = protocolVersion;
    std::string instance;
    std::string endpointName;
    std::uint64_t incarnation = 0;
    std::string nonce;
    std::string proof;

    auto operator<=>(const welcome &) const = default;
    MSGPACK_DEFINE(protocol, instance, endpointName, incarnation, nonce, proof)
};

/// Last message of the handshake. `proof` is the connecting process's HMAC over the same transcript.
struct hello_proof
{
    std::string proof;

    auto operator<=>(const hello_proof &) const = default;
    MSGPACK_DEFINE(proof)
};

/// Sent periodically by either side. Entries leave the load (`running`, `limit`, `waiting` per tier) at 0.
struct heartbeat
{
    log_offset configuration = 0;
    bool leaving = false;
    /// Running attempts and open offers.
    std::uint32_t running = 0;
    std::uint32_t limit = 0;
    std::array<std::uint32_t, tierCount> waiting{};

    auto operator<=>(const heartbeat &) const = default;
    MSGPACK_DEFINE(configuration, leaving, running, limit, waiting)
};

/// Entry to endpoint: add this attempt to the queue.
struct reserve
{
    attempt_id id;
    std::string className;
    std::string workspaceName;
    /// Time that the request had waited when the message was sent.
    std::int64_t waitedMicroseconds = 0;
    std::uint32_t promptTokens = 0;
    bool idempotent = true;

    auto operator<=>(const reserve &) const = default;
    MSGPACK_DEFINE(id, className, workspaceName, waitedMicroseconds, promptTokens, idempotent)
};

/// Why an entry withdraws a reservation.
enum class withdraw_reason : std::uint8_t {
    /// The request accepted an offer of another endpoint. Also the reply to an offer that the request no longer waits for, such as one for a
    /// request that has ended.
    bound_elsewhere,
    /// The caller disconnected.
    caller_gone,
    /// The request ended with an error or an aborted stream, its claim lost to another one, or the endpoint has fallen silent.
    /// Endpoints record it as `caller_gone`.
    refused,
};

/// Entry to endpoint: withdraw a reservation or decline an offer. `reason` is a `withdraw_reason`.
struct withdraw
{
    attempt_id id;
    std::uint8_t reason = 0;

    auto operator<=>(const withdraw &) const = default;
    MSGPACK_DEFINE(id, reason)
};

/// Entry to endpoint: run the attempt in the offered slot.
struct start
{
    attempt_id id;
    std::uint64_t endpointIncarnation = 0;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    bool streaming = false;
    bool idempotent = true;
    std::uint32_t resumeFrom = 0;

    auto operator<=>(const start &) const = default;
    MSGPACK_DEFINE(id, endpointIncarnation, method, path, contentType, body, streaming, idempotent, resumeFrom)
};

/// Entry to endpoint: stop the attempt, because its answer is no longer needed.
struct cancel
{
    attempt_id id;

    auto operator<=>(const cancel &) const = default;
    MSGPACK_DEFINE(id)
};

/// Entry to endpoint: asks for the state of the attempt. An attempt that has not started is barred from starting later, unless another entry
/// holds an open offer for it.
struct fate_query
{
    attempt_id id;
    std::uint64_t endpointIncarnation = 0;

    auto operator<=>(const fate_query &) const = default;
    MSGPACK_DEFINE(id, endpointIncarnation)
};

/// Endpoint to entry: no slot is free, so the reservation was queued.
struct queued
{
    attempt_id id;

    auto operator<=>(const queued &) const = default;
    MSGPACK_DEFINE(id)
};

/// Endpoint to entry: a slot is free for this attempt.
struct offer
{
    attempt_id id;
    std::uint64_t endpointIncarnation = 0;

    auto operator<=>(const offer &) const = default;
    MSGPACK_DEFINE(id, endpointIncarnation)
};

/// Endpoint to entry: the attempt did not run here. `kind` is an `error_kind`; with `overloaded` the reservation stays queued.
struct refused
{
    attempt_id id;
    /// One of shutting_down, no_endpoint, overloaded, upstream_failed and not_ready; the last also for an offer that is unknown or has expired and
    /// for an attempt that the ledger does not let start. The run_state of the kind does not apply, because the attempt did not run.
    std::uint8_t kind = 0;
    std::int64_t retryAfterMicroseconds = 0;

    auto operator<=>(const refused &) const = default;
    MSGPACK_DEFINE(id, kind, retryAfterMicroseconds)
};

/// Endpoint to entry: part of the answer. `offset` is the number of events of the answer before this part.
struct chunk
{
    attempt_id id;
    std::uint32_t offset = 0;
    /// Number of events in `data`.
    std::uint32_t events = 0;
    std::string data;

    auto operator<=>(const chunk &) const = default;
    MSGPACK_DEFINE(id, offset, events, data)
};

/// Endpoint to entry: the answer is complete. `body` is empty for a stream, `events` is its number of events.
struct finished
{
    attempt_id id;
    std::int32_t httpStatus = 0;
    std::string contentType;
    std::string body;
    std::uint32_t events = 0;

    auto operator<=>(const finished &) const = default;
    MSGPACK_DEFINE(id, httpStatus, contentType, body, events)
};

/// Endpoint to entry: the attempt started and failed before its answer was complete.
struct failed
{
    attempt_id id;
    std::string detail;

    auto operator<=>(const failed &) const = default;
    MSGPACK_DEFINE(id, detail)
};

/// State of an attempt, as its endpoint process knows it.
enum class fate : std::uint8_t {
    never_started,
    /// Also while another entry than the asking one holds an open offer for the attempt, and may start it.
    running,
    ended,
    failed,
    unknown,
};

/// Endpoint to entry: reply to `fate_query`. `state` is a `fate`; `outcome` holds the answer if the state is `ended`.
struct fate_answer
{
    attempt_id id;
    std::uint8_t state = 0;
    finished outcome;

    auto operator<=>(const fate_answer &) const = default;
    MSGPACK_DEFINE(id, state, outcome)
};

/// Either side: a newer configuration than the peer has, as `configuration_state` in JSON.
struct configuration_update
{
    std::string snapshot;

    auto operator<=>(const configuration_update &) const = default;
    MSGPACK_DEFINE(snapshot)
};

/// Any message. The index of a type in this list is its number on the wire, so new types are added at the end.
using message = std::variant<hello,
                             welcome,
                             hello_proof,
                             heartbeat,
                             reserve,
                             withdraw,
                             start,
                             cancel,
                             fate_query,
                             queued,
                             offer,
                             refused,
                             chunk,
                             finished,
                             failed,
                             fate_answer,
                             configuration_update>;

} // namespace wisteriashunt

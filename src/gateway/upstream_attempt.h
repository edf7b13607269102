/// One run of a request at an endpoint.
#pragma once

#include "dispatch/placement.h"
#include "gateway/event_splitter.h"
#include "gateway/wire_dialect.h"
#include "http/upstream_connection.h"
#include "net/memory_ledger.h"

#include <memory>
#include <string>
#include <utility>

namespace wisteriashunt
{

/// What a session knows of one run, from its sending until the session ends. At most two runs of a session go on at a time.
struct upstream_attempt
{
    /// The ledger counts what is kept of the answer's body for as long as this object exists.
    explicit upstream_attempt(std::shared_ptr<memory_ledger> ledger)
        : charge(std::move(ledger))
    {
    }
    upstream_attempt(const upstream_attempt &) = delete;
    upstream_attempt &operator=(const upstream_attempt &) = delete;

    void appendBody(std::string_view bytes)
    {
        body.append(bytes);
        updateCharge();
    }
    /// Gives up the body, which is no longer counted here.
    [[nodiscard]] std::string takeBody()
    {
        auto taken = std::exchange(body, {});
        updateCharge();
        return taken;
    }
    /// Counts the answer anew, without its head and what was forwarded.
    void updateCharge()
    {
        charge.set(body.size() + events.partialBytes());
    }

    memory_charge charge;
    placement placed;
    /// Set while the run goes on.
    std::shared_ptr<upstream_connection> exchange;
    time_point sentAt;
    /// Whether it was sent while another run went on.
    bool isHedge = false;
    /// Whether it goes on with a stream of which the caller has a part.
    bool isContinuation = false;
    bool hasFirstByte = false;
    /// Whether an event of it was forwarded.
    bool hasForwardedEvent = false;
    time_point firstByteAt;
    /// Whether an answer has shown that the request's traits crash no endpoint.
    bool hasCleared = false;
    http_response_head head;
    response_metadata response;
    std::string body;
    /// Of all runs that this one goes on after.
    event_splitter events;

    [[nodiscard]] bool isRunning() const
    {
        return exchange != nullptr;
    }
};

} // namespace wisteriashunt

/// Events and actions shared by the entry core and the endpoint core.
#pragma once

#include "wisteriashunt/messages.h"
#include "wisteriashunt/resources.h"

#include <cstdint>

namespace wisteriashunt
{

/// Identifies a connection between an entry and an endpoint process. A new connection of the same pair is a new peer.
using peer_id = std::uint64_t;

/// A message arrived from a peer.
struct peer_message
{
    peer_id peer = 0;
    message content;
};

/// The connection to a peer ended.
struct peer_lost
{
    peer_id peer = 0;
};

/// A newer configuration took effect.
struct configuration_changed
{
    configuration_state state;
};

/// The process must drain: it accepts no new work and completes running work.
struct leave_requested
{
};

/// Time has passed.
struct tick
{
};

/// Send a message to a peer.
struct send_to_peer
{
    peer_id peer = 0;
    message content;
};

} // namespace wisteriashunt

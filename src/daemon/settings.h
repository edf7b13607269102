/// Settings of the daemon, read from YAML and checked whole before anything starts.
#pragma once

#include "configuration/fault.h"
#include "transport/handshake.h"
#include "transport/peer_hub.h"

#include <string>
#include <vector>

namespace wisteriashunt
{

/// What a daemon process does.
enum class daemon_role {
    entry,
    endpoint,
};

/// All settings. docs/SETTINGS.md describes each key.
struct daemon_settings
{
    daemon_role role = daemon_role::entry;
    std::string instance;
    std::string zone;
    /// Callers' port of an entry, peers' port of an endpoint process.
    peer_address listen;
    peer_address admin;
    std::string logUrl;
    std::string instancesUrl;
    std::vector<peer_key> peerKeys;
    std::string endpointName;
    std::string upstreamUrl;
    std::size_t maxBodyBytes = 1U << 20U;
    unsigned maxConnections = 4096;
    std::size_t reservationSample = 0;
    duration drainTimeout = std::chrono::seconds(120);
    std::string logFile;
    bool logToConsole = true;
};

/// Parses and checks the settings. With a fault, the returned settings must not be used.
[[nodiscard]] daemon_settings parseSettings(const std::string &file, const std::string &text, std::vector<fault> &faults);

/// Reads the file and parses it; an unreadable file is a fault.
[[nodiscard]] daemon_settings loadSettings(const std::string &file, std::vector<fault> &faults);

} // namespace wisteriashunt

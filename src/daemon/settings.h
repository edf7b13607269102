/// Settings of the daemon, read from YAML and checked completely before the daemon starts.
#pragma once

#include "configuration/fault.h"
#include "transport/handshake.h"
#include "transport/peer_hub.h"

#include <string>
#include <vector>

namespace wisteriashunt
{

/// Role of a daemon process.
enum class daemon_role {
    entry,
    endpoint,
};

/// All settings. docs/SETTINGS.md describes each key.
struct daemon_settings
{
    daemon_role role = daemon_role::entry;
    std::string instance;
    std::string availabilityZone;
    /// Address for the callers of an entry, or for the peers of an endpoint process.
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

/// Parses and checks the settings. Appends every fault to `faults`; if there are any, the result must not be used.
[[nodiscard]] daemon_settings parseSettings(const std::string &file, const std::string &text, std::vector<fault> &faults);

/// Reads the file and parses it. An unreadable file is a fault.
[[nodiscard]] daemon_settings loadSettings(const std::string &file, std::vector<fault> &faults);

} // namespace wisteriashunt

/// Messages between entries: load, membership, begun streams and crashes under prompts.
///
/// A message is a msgpack array with the version of the format and the fields of entry_message. There is no consensus: a lost or late
/// message only makes a load estimate older.
#pragma once

#include "dispatch/placement.h"
#include "dispatch/request_quarantine.h"
#include "dispatch/stream_versions.h"
#include "dispatch/zone_exchange.h"
#include "gateway/duty_message.h"
#include "net/byte_channel.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wisteriashunt
{

/// State that an entry announces.
struct entry_message
{
    /// Version of the declarations in force; -1 if none.
    std::int64_t declarationsVersion = -1;
    bool isLeaving = false;
    /// Whether the sender has just started and does not know yet what its peers hold.
    bool isStarting = false;
    load_digest load;
    stream_digest streams;
    quarantine_digest quarantine;
    /// Highest epoch of the log that the sender has seen; 0 if it has seen none.
    std::int64_t logEpoch = 0;
    /// Other entries from which the sender has received a message recently.
    std::vector<socket_address> peers;
    /// Endpoints that have said that they leave while the list does not say so.
    std::vector<endpoint_incarnation> leaving;
    entry_place place;
    /// Whether the sender takes messages about duties.
    bool hasDuties = false;

    bool operator==(const entry_message &) const = default;
};

/// What an entry tells its peers between two messages. Entries of earlier versions reject it and learn the same from the next message.
struct entry_news
{
    std::vector<begun_stream> begunStreams;
    quarantine_digest quarantine;
    std::vector<endpoint_incarnation> leaving;

    bool operator==(const entry_news &) const = default;
};

[[nodiscard]] std::string encodeEntryMessage(const entry_message &message);
[[nodiscard]] std::string encodeEntryNews(const entry_news &news);
/// Limits that endpoints declare are left out; entries tell them directly.
[[nodiscard]] std::string encodeZoneLoads(const zone_loads &loads);

/// Throws shunt_error(malformed_frame) if the bytes are not a valid message.
[[nodiscard]] entry_message decodeEntryMessage(std::string_view bytes);

/// Throws shunt_error(malformed_frame) if the bytes are none of these.
[[nodiscard]] std::variant<entry_message, entry_news, zone_loads, duty_message> decodeDatagram(std::string_view bytes);

} // namespace wisteriashunt

/// Knows which software version of an endpoint began each stream, so that the stream goes on at that version only.
///
/// A caller may take a broken stream up at any entry. While endpoints of more than one version serve, entries therefore tell each other
/// which streams began where, as soon as their first event is forwarded: an entry that is killed cannot be asked later. Once one version has
/// served alone for long enough, nothing is told, and every stream is known to have begun at that version.
///
/// An entry knows all versions from some time on: from its first look at the list of endpoints, or from when a peer knows them. Entries tell
/// each other since when, so that what nobody has seen is never taken for known after all entries were killed. A gap in what it could see, such
/// as a suspension or a long outage of the list, starts this time anew.
#pragma once

#include "membership/endpoint_roster.h"
#include "wisteriashunt/time.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisteriashunt
{

/// Service and software version of the endpoint that wrote a stream's first event.
struct stream_origin
{
    std::string service;
    std::string softwareVersion;

    auto operator<=>(const stream_origin &) const = default;
};

/// A stream whose first event has been forwarded.
struct begun_stream
{
    /// Hash of the ID of the caller's attempt.
    std::uint64_t stream = 0;
    stream_origin origin;
    /// Time for which the caller may still take the stream up.
    duration timeLeft{};

    bool operator==(const begun_stream &) const = default;
};

/// A software version of a service, and when it was last listed.
struct listed_version
{
    stream_origin version;
    duration age{};

    bool operator==(const listed_version &) const = default;
};

/// Part of a message between entries that concerns streams.
struct stream_digest
{
    std::vector<begun_stream> begun;
    /// All versions listed within stream_version_options::history. Empty if the entry does not know them for that long.
    std::vector<listed_version> versions;
    /// The versions that the entry knows of otherwise.
    std::vector<listed_version> partialVersions;
    /// Time for which the entry has known all versions without a gap.
    duration knownFor{};
    /// Age of the list that this is known from: the time since its last reading began.
    duration listAge{};

    bool operator==(const stream_digest &) const = default;
};

/// Settings of stream_versions.
struct stream_version_options
{
    /// Time for which a version that is no longer listed may have begun streams that callers still take up. Exceeds the time that callers wait
    /// for a stream.
    duration history = std::chrono::seconds(30);
    /// Age of the list of endpoints from which on another version may have been listed unseen. Exceeds usual outages of the list, during which
    /// peers that still read it tell of new versions.
    duration maxListAge = std::chrono::seconds(5);
    /// Time after a gap or a pause of this process during which messages of peers may have been sent before it, and prove nothing.
    duration settlingTime = std::chrono::seconds(1);
    /// Time between two looks at the list from which on the process counts as having paused.
    duration maxPause = std::chrono::milliseconds(300);
    /// Most streams that are known at a time; about 4 MB. Later ones are not recorded, and cannot be taken up while two versions serve.
    std::size_t maxStreams = 65536;
    /// Most streams per digest.
    std::size_t maxBegunInDigest = 128;
    /// Number of digests that carry each stream, in case one is lost.
    int repetitions = 2;
    /// Most streams that are stored for one entry, the newest; about 120 kB.
    std::size_t maxStoredStreams = 8192;
};

/// Not thread-safe.
class stream_versions
{
public:
    /// The roster must outlive this object.
    explicit stream_versions(const endpoint_roster &roster, const stream_version_options &options = {});

    /// Returns when the list of endpoints in the roster was read; nullopt if not all of it has been. Without this hook the list is
    /// current at all times.
    std::function<std::optional<time_point>()> listReadAt;
    /// Returns when that reading began. Without this hook a reading takes no time.
    std::function<time_point()> listAskedAt;

    /// Notes the versions that are listed, and forgets those that have not been for longer than the history. To be called a few times a second
    /// so that no version comes and leaves unseen.
    void observeVersions(time_point now);

    /// Records that the first event of a caller's attempt has been forwarded.
    void onBegun(const std::string &attemptId, const stream_origin &origin, duration timeLeft, time_point now);

    /// Notes the version of a record of the list, which may be replaced or removed by the next one before observeVersions() is called.
    void onListed(const stream_origin &version, time_point now);

    /// Returns whether originOf() would infer the origin from the list alone. The list may lack a version that was listed since it was last
    /// read, and of which a stream has begun elsewhere; so the caller must have the list read first, by a reading that begins after the
    /// attempt has arrived.
    [[nodiscard]] bool needsReading(const std::string &attemptId, const std::string &service, time_point now);

    /// Returns where the stream of the attempt began; nullopt if that is not known. An attempt that is not known began at the version that
    /// alone served the service, if it was the only one. See needsReading().
    [[nodiscard]] std::optional<stream_origin> originOf(const std::string &attemptId, const std::string &service, time_point now);

    /// Records that the list was read, or taken over from a peer, without all of the records in between. What the peer knew when it gave the
    /// list fills the gap if the peer saw these records.
    void onPassedOver(const std::optional<stream_digest> &peer, time_point now);
    /// Records the versions that a peer knows.
    void onPeerVersions(const stream_digest &digest, time_point now);

    /// Records what the list's history shows, from before this entry read the list: the versions, and for how long all of them are known. The
    /// history must reach to the first complete reading of the list.
    void onHistory(const std::vector<listed_version> &versions, duration knownFor, time_point now);
    /// Returns whether all versions of the last history are known.
    [[nodiscard]] bool isHistoryWhole(time_point now) const;

    /// Returns whether streams that began here have to be stored outside the entries, which may all end: more than one version of their service
    /// has been listed within the history, and they have not been taken for storing.
    [[nodiscard]] bool hasUnstored(time_point now) const;
    /// Returns all streams of such services that began here and may still be taken up.
    [[nodiscard]] std::vector<begun_stream> takeUnstored(time_point now);
    /// The streams that were taken may not have been stored.
    void onStoreFailed();
    /// Records what was stored before this entry started, by itself or by another entry. What is stored is true, however old it is, but shows
    /// nothing of other streams, nor which versions serve now.
    void onStored(const std::vector<begun_stream> &streams, bool isOwn, time_point now);

    /// Returns whether the next digest tells peers of streams.
    [[nodiscard]] bool hasNews(time_point now) const;
    [[nodiscard]] stream_digest digest(time_point now);
    /// Returns the part of a digest that concerns versions.
    [[nodiscard]] stream_digest knowledge(time_point now);
    void onPeerDigest(const stream_digest &digest, time_point now);

    /// Returns the number of streams that are known.
    [[nodiscard]] std::size_t knownStreams() const
    {
        return m_streams.size();
    }

private:
    struct known_stream
    {
        const stream_origin *origin = nullptr;
        time_point expiresAt;
    };
    struct pending_stream
    {
        std::uint64_t stream = 0;
        int repetitions = 0;
    };
    struct own_stream
    {
        std::uint64_t stream = 0;
        bool isTaken = false;
    };

    void record(std::uint64_t stream, const stream_origin &origin, time_point expiresAt, time_point now);
    void remember(std::uint64_t stream, const stream_origin &origin, time_point expiresAt, time_point now);
    void discardExpired(time_point now);
    /// Returns whether the list of endpoints was read recently enough for no other version to be listed unseen.
    [[nodiscard]] bool isListCurrent(time_point now) const;
    /// Moves the moment from which all versions are known back, unless there was a gap just before or what is told ends before the own list begins.
    void noteKnownFor(duration knownFor, duration listAge, time_point now);
    /// Returns the stream's recorded origin, or nullptr.
    [[nodiscard]] const stream_origin *recordedOrigin(const std::string &attemptId, time_point now) const;
    [[nodiscard]] std::optional<stream_origin> onlyVersionOf(const std::string &service, time_point now);
    void noteListed(const std::vector<listed_version> &versions, time_point now);
    /// Returns whether an attempt that is not known may have begun at more than one version of its service.
    [[nodiscard]] bool isAnyOriginAmbiguous(time_point now) const;
    /// Returns the versions of a service within the history.
    [[nodiscard]] std::vector<const stream_origin *> versionsOf(const std::string &service) const;
    [[nodiscard]] std::vector<begun_stream> takePending(time_point now);
    /// Adds a recorded stream to those that began here.
    void addOwn(const own_stream &own);
    [[nodiscard]] bool isToBeStored(std::uint64_t stream, time_point now) const;
    [[nodiscard]] bool hasServiceOfSeveralVersions() const;

    const endpoint_roster &m_roster;
    stream_version_options m_options;
    std::unordered_map<std::uint64_t, known_stream> m_streams;
    /// Owns the origins that m_streams points to.
    std::set<stream_origin> m_origins;
    /// This entry's streams that peers have to be told of.
    std::deque<pending_stream> m_pending;
    /// Streams that began here, the oldest first.
    std::deque<own_stream> m_own;
    /// When each version was last listed.
    std::map<stream_origin, time_point> m_lastListed;
    /// Since when all versions are known without a gap, and when the list was last read.
    std::optional<time_point> m_knownSince;
    time_point m_listReadAt;
    time_point m_observedAt;
    /// When the reading that the list was last known from began.
    time_point m_listAskedAt;
    /// From when on the own list shows all versions.
    time_point m_ownSince;
    /// When the last gap was noticed, and when this process last went on after a pause.
    std::optional<time_point> m_gapAt;
    std::optional<time_point> m_pausedAt;
    time_point m_discardedAt;
};

} // namespace wisteriashunt

/// Stores in the platform's log which streams began at this entry and at which software version, and reads at the start what all entries have
/// stored. After the end of all entries nobody else knows.
///
/// Each entry has one record, which names all its streams that may still be taken up. It is written only while endpoints of more than one
/// version serve, or have done so recently.
#pragma once

#include "dispatch/stream_versions.h"
#include "gateway/event_log.h"
#include "gateway/keyed_log.h"
#include "http/bounded_client.h"

#include <functional>
#include <string>

namespace wisteriashunt
{

/// Timing and bounds of a stream_store.
struct stream_store_options
{
    /// Name of this entry, which it keeps when it starts again; the key of its record.
    std::string entry;
    socket_address log;
    /// Shortest time between two appends of one entry, and the share of it that grows with the number of entries, so that all together make at
    /// most 50 a second.
    duration minPeriod = std::chrono::milliseconds(400);
    duration periodPerEntry = std::chrono::milliseconds(20);
    /// Time after the start from which on nothing that was stored before it can still be taken up.
    duration maxStreamAge = std::chrono::seconds(30);
    /// Pause after a failed call. Doubles with each further failure, up to maxBackoff.
    duration initialBackoff = std::chrono::milliseconds(100);
    duration maxBackoff = std::chrono::milliseconds(800);
    /// A call fails if it has no answer within this time. The log normally answers within 4 ms, and a slow log within 240 ms.
    duration timeout = std::chrono::milliseconds(800);
    /// Most bytes of one answer. The log ends its pages at 1 MB.
    std::size_t maxAnswerBytes = 16 * 1024 * 1024;
};

/// Returns the time between two appends of one entry.
[[nodiscard]] duration storePeriod(const stream_store_options &options, std::size_t liveEntries);

/// Not thread-safe: used from the event loop's thread only.
class stream_store
{
public:
    struct hooks
    {
        /// Whether any route allows callers to take streams up. Without one, nothing is read.
        std::function<bool()> hasResumableRoutes;
        std::function<std::size_t()> liveEntries;
    };

    /// All references must outlive this object.
    stream_store(event_loop &loop, event_log &log, stream_versions &streams, const keyed_log_dialect &dialect, stream_store_options options, hooks callbacks);
    stream_store(const stream_store &) = delete;
    stream_store &operator=(const stream_store &) = delete;

    /// To be called about every 100 ms.
    void onTick();

private:
    void read();
    void append();
    void onPage(const keyed_page &page);
    void onAppendFailed();
    void backOff();

    event_loop &m_loop;
    event_log &m_log;
    stream_versions &m_streams;
    const keyed_log_dialect &m_dialect;
    stream_store_options m_options;
    hooks m_hooks;
    bounded_client m_client;
    time_point m_startedAt;
    /// The log is not called before.
    time_point m_notBefore;
    duration m_backoff{};
    /// Key after which the next page begins.
    std::string m_pageKey;
    std::size_t m_readStreams = 0;
    /// Whether what was stored before the start has been read, or is too old to matter. Until then nothing is appended: it would replace this
    /// entry's record, which entries that start later have not read yet.
    bool m_hasRead = false;
};

} // namespace wisteriashunt

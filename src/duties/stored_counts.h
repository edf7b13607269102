/// Decides when counts go through the platform's log, which entries reach that are cut off from each other.
///
/// Counts are told to the entries that hold the duty or are next to hold it. An entry that hears less than half of its peers can't rely on that,
/// so it stores its counts of each window that ends. The entry that is to fix a window reads them there if a peer has not told all of its counts.
/// A fleet in which all are heard stores and reads nothing.
#pragma once

#include "duties/duty_types.h"

#include <cstdint>
#include <optional>

namespace wisteriashunt
{

/// Settings of stored_counts. Times are those since the end of a window.
struct stored_counts_options
{
    /// From when and until when an entry stores its counts.
    duration storeFrom = std::chrono::milliseconds(200);
    duration storeUntil = std::chrono::milliseconds(4500);
    /// When they are read: by then they are stored by entries that have heard no peers since before the window ended, and by those that heard
    /// their peers last when it ended.
    duration firstRead = std::chrono::milliseconds(1200);
    duration lastRead = std::chrono::milliseconds(3300);
    /// Pause after a call that failed.
    duration retryPause = std::chrono::milliseconds(300);
};

/// At most one call is under way at a time. Not thread-safe.
class stored_counts
{
public:
    explicit stored_counts(const stored_counts_options &options);

    /// Returns whether the counts of the window, and of those before it, are to be stored now.
    [[nodiscard]] bool isStoreDue(std::int64_t window, duration sinceEnd, time_point now) const;
    void beginStore(std::int64_t window);
    void onStored(bool isStored, time_point now);

    /// Returns whether the stored counts are to be read, to complete a window.
    [[nodiscard]] bool isReadDue(duration sinceEnd, time_point now) const;
    void beginRead(time_point now);
    void onRead(bool isAnswered, time_point now);
    /// Whether what was read tells of a peer that this entry has heard last the time before now all that it has counted in the window: a peer that
    /// has stored nothing by then has ended.
    [[nodiscard]] bool hasRead(duration sinceHeard, duration peerLifetime, duration sinceEnd, time_point now) const;

private:
    enum class call_kind : std::uint8_t {
        none,
        store,
        read,
    };

    /// Whether what was read is what was stored the time after the end of the window.
    [[nodiscard]] bool hasReadAt(duration after, duration sinceEnd, time_point now) const;

    stored_counts_options m_options;
    call_kind m_underWay = call_kind::none;
    std::int64_t m_storing = -1;
    std::int64_t m_storedThrough = -1;
    time_point m_readBegunAt;
    std::optional<time_point> m_readAt;
    time_point m_retryAt;
};

} // namespace wisteriashunt

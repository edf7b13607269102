/// Thread that appends claim records in batches, because the log accepts only several hundred appends a second.
#pragma once

#include "transport/bounded_ring.h"
#include "wisteriashunt/platform.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace wisteriashunt
{

/// Stream of the claim records in the platform's log.
constexpr const char *claimStream = "claims";

/// Settings of a claim_writer.
struct claim_writer_options
{
    /// Time for which records are collected into one append.
    duration batchInterval = std::chrono::milliseconds(5);
    /// Pause after a failed append.
    duration retryInterval = std::chrono::milliseconds(100);
    std::size_t ringCapacity = 65536;
};

/// Appends records in the order given. A failed append is repeated, so a record may be written twice; readers of the stream tolerate that.
class claim_writer
{
public:
    claim_writer(const claim_writer_options &options, std::unique_ptr<log_service> log);
    ~claim_writer();
    claim_writer(const claim_writer &) = delete;
    claim_writer &operator=(const claim_writer &) = delete;

    /// Queues a record for the next append. Blocks while the ring is full.
    void append(const std::string &record);

private:
    void run();

    claim_writer_options m_options;
    std::unique_ptr<log_service> m_log;
    bounded_ring<std::string> m_ring;
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

} // namespace wisteriashunt

/// Interfaces to the platform's services. Implementations throw `shunt_error` with `platform_unavailable` when a service does not answer.
#pragma once

#include "wisteriashunt/resources.h"

#include <string>
#include <vector>

namespace wisteriashunt
{

/// One record of a log stream.
struct log_record
{
    log_offset offset = 0;
    std::string data;

    auto operator<=>(const log_record &) const = default;
};

/// Result of one read of a stream.
struct log_page
{
    /// Oldest offset that the log retains.
    log_offset firstRetained = 1;
    /// Offset of the next record to be appended.
    log_offset next = 1;
    std::vector<log_record> records;

    auto operator<=>(const log_page &) const = default;
};

/// Append-only log of named streams. Offsets start at 1.
class log_service
{
public:
    virtual ~log_service() = default;
    /// Appends all records in order, as one append, and returns the offset of the first. If it throws, the records may have been written.
    virtual log_offset append(const std::string &stream, const std::vector<std::string> &records) = 0;
    /// Reads the records from offset `from` on. If there are none yet, waits up to `wait` for the first one.
    virtual log_page read(const std::string &stream, log_offset from, duration wait) = 0;
};

/// One row of the platform's list of instances.
struct instance_row
{
    std::string name;
    std::string role;
    std::string endpointName;
    std::string availabilityZone;
    std::string address;
    int port = 0;
    int adminPort = 0;
    /// The instance is shutting down.
    bool leaving = false;

    auto operator<=>(const instance_row &) const = default;
};

/// The platform's list of live and leaving instances. It lags behind the actual state, so it serves for discovery only.
class instance_list
{
public:
    virtual ~instance_list() = default;
    virtual std::vector<instance_row> read() = 0;
    virtual void announce(const instance_row &row) = 0;
};

} // namespace wisteriashunt

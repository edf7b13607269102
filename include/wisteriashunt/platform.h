/// Narrow interfaces to the platform's services. Implementations throw `shunt_error` with `platform_unavailable` when the service does not answer.
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

/// A page of a stream.
struct log_page
{
    /// Oldest offset that the log still holds.
    log_offset firstRetained = 1;
    /// Offset that the next append will get.
    log_offset next = 1;
    std::vector<log_record> records;

    auto operator<=>(const log_page &) const = default;
};

/// Append-only log with offsets that start at 1.
class log_service
{
public:
    virtual ~log_service() = default;
    /// Appends all records in order as one append and returns the offset of the first. A throw leaves it unknown whether they were written.
    virtual log_offset append(const std::string &stream, const std::vector<std::string> &records) = 0;
    /// Reads from `from` on. Waits up to `wait` for a first record when there is none yet.
    virtual log_page read(const std::string &stream, log_offset from, duration wait) = 0;
};

/// One row of the platform's lagging list of instances.
struct instance_row
{
    std::string name;
    std::string role;
    std::string endpointName;
    std::string zone;
    std::string address;
    int port = 0;
    int adminPort = 0;
    bool leaving = false;

    auto operator<=>(const instance_row &) const = default;
};

/// The platform's list of live and leaving instances. Discovery only: it lags.
class instance_list
{
public:
    virtual ~instance_list() = default;
    virtual std::vector<instance_row> read() = 0;
    virtual void announce(const instance_row &row) = 0;
};

} // namespace wisteriashunt

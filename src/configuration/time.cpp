#include "wisteriashunt/time.h"

#include <ctime>

namespace wisteriashunt
{

anchored_clock::anchored_clock()
    : m_steadyAnchor(std::chrono::steady_clock::now())
    , m_wallAnchor(std::chrono::time_point_cast<duration>(std::chrono::system_clock::now()))
{
}

time_point anchored_clock::now() const
{
    return m_wallAnchor + std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - m_steadyAnchor);
}

time_point boot_clock::now() const
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec)));
}

} // namespace wisteriashunt

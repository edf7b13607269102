#include "wisteriashunt/time.h"

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

} // namespace wisteriashunt

/// Which requests an entry that is about to stop still takes.
#pragma once

#include "wisteriashunt/routing.h"
#include "wisteriashunt/time.h"

namespace wisteriashunt
{

/// Whether a request may be taken whose answer can take timeLimit, if connections are closed after timeToStop. An operation that may run only once must
/// be answered before, since its caller could not tell whether it ran. Others may be sent again, and streams are taken up after their last event; most
/// end long before their limit.
[[nodiscard]] constexpr bool mayTakeBeforeStop(repeatability kind, duration timeLimit, duration timeToStop)
{
    return kind != repeatability::at_most_once || timeLimit <= timeToStop;
}

} // namespace wisteriashunt

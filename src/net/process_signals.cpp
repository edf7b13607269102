#include "net/process_signals.h"

#include <csignal>

namespace wisteriashunt::process_signals
{

namespace
{

volatile std::sig_atomic_t stopRequested = 0;
volatile std::sig_atomic_t reloadRequested = 0;

void onSignal(int signal)
{
    if (signal == SIGHUP) {
        reloadRequested = 1;
    } else {
        stopRequested = 1;
    }
}

} // namespace

void install()
{
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGHUP, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

bool isStopRequested()
{
    return stopRequested != 0;
}

bool takeReloadRequest()
{
    const bool isRequested = reloadRequested != 0;
    reloadRequested = 0;
    return isRequested;
}

} // namespace wisteriashunt::process_signals

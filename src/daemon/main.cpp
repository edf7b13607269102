// wisteriashuntd: the daemon in either role.
#include "daemon/endpoint_daemon.h"
#include "daemon/entry_daemon.h"
#include "daemon/logging.h"
#include "daemon/settings.h"
#include "net/process_signals.h"
#include "wisteriashunt/errors.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <curl/curl.h>
#include <easylogging++.h>

#include <iostream>

ABSL_FLAG(std::string, config, "", "Path of the settings file (YAML).");
ABSL_FLAG(bool, check, false, "Check the settings, print every fault and exit.");

namespace
{

constexpr int exitFailure = 1;
constexpr int exitBadSettings = 2;

std::optional<std::vector<wisteriashunt::peer_key>> takeReloadedKeys()
{
    if (!wisteriashunt::process_signals::takeReloadRequest()) {
        return std::nullopt;
    }
    std::vector<wisteriashunt::fault> faults;
    const auto settings = wisteriashunt::loadSettings(absl::GetFlag(FLAGS_config), faults);
    if (!faults.empty()) {
        LOG(ERROR) << "event=" << static_cast<int>(wisteriashunt::event_number::settings_fault) << " name=settings_fault reason=" << toString(faults);
        return std::nullopt;
    }
    return settings.peerKeys;
}

int serve(const wisteriashunt::daemon_settings &settings)
{
    const wisteriashunt::anchored_clock clock;
    const wisteriashunt::daemon_signals signals{.isStopRequested = wisteriashunt::process_signals::isStopRequested, .takeReloadedKeys = takeReloadedKeys};
    if (settings.role == wisteriashunt::daemon_role::entry) {
        wisteriashunt::entry_daemon daemon(settings, clock);
        daemon.run(signals);
    } else {
        wisteriashunt::endpoint_daemon daemon(settings, clock);
        daemon.run(signals);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Routes language-model traffic. Usage: wisteriashuntd --config=FILE [--check]");
    absl::ParseCommandLine(argc, argv);
    std::vector<wisteriashunt::fault> faults;
    const auto settings = wisteriashunt::loadSettings(absl::GetFlag(FLAGS_config), faults);
    if (!faults.empty()) {
        std::cerr << toString(faults) << '\n';
        return exitBadSettings;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << "settings are valid\n";
        return 0;
    }
    wisteriashunt::process_signals::install();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    wisteriashunt::configureLogging(settings);
    try {
        return serve(settings);
    } catch (const std::exception &error) {
        LOG(ERROR) << "event=" << static_cast<int>(wisteriashunt::event_number::settings_fault) << " name=settings_fault reason=" << error.what();
        return exitFailure;
    }
}

#include "daemon/logging.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace wisteriashunt
{

void configureLogging(const daemon_settings &settings)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, settings.logToConsole ? "true" : "false");
    configuration.setGlobally(el::ConfigurationType::ToFile, settings.logFile.empty() ? "false" : "true");
    if (!settings.logFile.empty()) {
        configuration.setGlobally(el::ConfigurationType::Filename, settings.logFile);
    }
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Loggers::reconfigureAllLoggers(configuration);
}

} // namespace wisteriashunt

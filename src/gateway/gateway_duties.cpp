// Duties of an entry.
#include "gateway/gateway.h"

namespace wisteriashunt
{

void gateway::startDuties()
{
    const auto &settings = m_options.settings;
    if (settings.duties) {
        m_duties = std::make_unique<duty_runner>(m_loop,
                                                 m_log,
                                                 m_counters,
                                                 m_clock,
                                                 m_options.logDialect,
                                                 m_options.dutyDialect,
                                                 duty_runner_options{.instance = settings.instance, .log = settings.logAddress, .duties = *settings.duties});
        m_context.onRunBegun = [this](const std::string &workspace) { m_duties->onRunBegun(workspace); };
    }
}

} // namespace wisteriashunt

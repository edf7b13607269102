#include "gateway/endpoint_crash_watch.h"

#include <sstream>

namespace wisteriashunt
{

std::string hexadecimalList(const std::set<std::uint64_t> &ids)
{
    constexpr std::size_t maxListed = 16;
    std::ostringstream text;
    text << std::hex;
    std::size_t listed = 0;
    for (const auto id : ids) {
        if (listed++ == maxListed) {
            text << ",...";
            break;
        }
        text << (listed > 1 ? "," : "") << id;
    }
    return ids.empty() ? "-" : text.str();
}

endpoint_crash_watch::endpoint_crash_watch(event_loop &loop, event_log &log, endpoint_pool &pool, const crash_watch_options &options, crash_hook onCrash)
    : m_loop(loop)
    , m_log(log)
    , m_pool(pool)
    , m_options(options)
    , m_onCrash(std::move(onCrash))
{
}

void endpoint_crash_watch::onBroken(const endpoint_pointer &endpoint, unbegun_attempt attempt)
{
    if (endpoint->isRemoved || endpoint->isLeaving()) {
        return;
    }
    const auto [position, isNew] = m_suspected.try_emplace(endpoint.get());
    auto &suspected = position->second;
    if (isNew) {
        suspected.crash = {.endpoint = endpoint, .at = m_loop.now()};
        suspected.connection = upstream_connection::open(m_loop, endpoint->record.address, m_options.channel);
        check(endpoint.get());
    }
    if (suspected.crash.attempts.size() < m_options.maxAttempts) {
        suspected.crash.attempts.push_back(std::move(attempt));
    }
}

void endpoint_crash_watch::check(const listed_endpoint *endpoint)
{
    const auto position = m_suspected.find(endpoint);
    const auto &[crash, connection] = position->second;
    const auto elapsed = m_loop.now() - crash.at;
    const bool isAlive = connection->isConnected() && elapsed >= m_options.aliveAfter;
    const bool hasCrashed = elapsed >= m_options.checkPeriod && (!connection->isOpen() || (elapsed >= m_options.crashedAfter && !isAlive));
    if (!isAlive && !hasCrashed) {
        const auto timer = m_loop.schedule(m_loop.now() + m_options.checkPeriod, [this, endpoint] { check(endpoint); });
        static_cast<void>(timer);
        return;
    }
    const auto ended = m_suspected.extract(position);
    const auto &suspected = ended.mapped();
    if (!hasCrashed) {
        m_pool.release(suspected.crash.endpoint, suspected.connection);
        return;
    }
    suspected.connection->close();
    trait_set traits;
    for (const auto &attempt : suspected.crash.attempts) {
        traits.insert(attempt.traits.begin(), attempt.traits.end());
    }
    m_log.write(event_number::endpoint_crashed,
                {{"endpoint", suspected.crash.endpoint->record.id},
                 {"service", suspected.crash.endpoint->record.service},
                 {"unbegun", std::to_string(suspected.crash.attempts.size())},
                 {"parts", hexadecimalList(idsOf(trait_kind::prompt_part, traits))},
                 {"fingerprints", hexadecimalList(idsOf(trait_kind::whole_request, traits))},
                 {"noticed_after_ms", milliseconds(elapsed)}});
    m_onCrash(suspected.crash);
}

} // namespace wisteriashunt

#include "evidence/evidence_chain.h"

#include "configuration/sha256.h"

#include <nlohmann/json.hpp>

namespace wisteriashunt
{

namespace
{

using nlohmann::json;

json toJson(const decision &value)
{
    return {{"event", static_cast<int>(value.event)},
            {"at", value.at.time_since_epoch().count()},
            {"entry", value.request.entry},
            {"sequence", value.request.sequence},
            {"attempt", value.attempt},
            {"class", value.className},
            {"tier", value.tier},
            {"workspace", value.workspaceName},
            {"endpoint", value.endpointName},
            {"reason", value.reason},
            {"queuedAt", value.queuedAt.time_since_epoch().count()},
            {"configuration", value.configuration},
            {"waiting", value.waiting},
            {"tokens", value.tokens}};
}

decision fromJson(const json &value)
{
    return {.event = static_cast<event_number>(value.at("event").get<int>()),
            .at = time_point(duration(value.at("at").get<std::int64_t>())),
            .request = {.entry = value.at("entry").get<std::uint64_t>(), .sequence = value.at("sequence").get<std::uint64_t>()},
            .attempt = value.at("attempt").get<std::uint32_t>(),
            .className = value.at("class").get<std::string>(),
            .tier = value.at("tier").get<int>(),
            .workspaceName = value.at("workspace").get<std::string>(),
            .endpointName = value.at("endpoint").get<std::string>(),
            .reason = value.at("reason").get<std::string>(),
            .queuedAt = time_point(duration(value.at("queuedAt").get<std::int64_t>())),
            .configuration = value.at("configuration").get<log_offset>(),
            .waiting = value.at("waiting").get<std::array<std::uint32_t, tierCount>>(),
            .tokens = value.at("tokens").get<double>()};
}

json contentOf(const evidence_batch &batch)
{
    json decisions = json::array();
    for (const auto &value : batch.decisions) {
        decisions.push_back(toJson(value));
    }
    return {{"instance", batch.instance},
            {"incarnation", batch.incarnation},
            {"first", batch.first},
            {"lostBefore", batch.lostBefore},
            {"previousHash", batch.previousHash},
            {"decisions", decisions}};
}

} // namespace

std::string computeHash(const evidence_batch &batch)
{
    return sha256Hex(contentOf(batch).dump());
}

evidence_chain::evidence_chain(std::string instance, std::uint64_t incarnation)
    : m_instance(std::move(instance))
    , m_incarnation(incarnation)
{
}

std::string evidence_chain::seal(const std::vector<decision> &decisions)
{
    const evidence_batch batch{.instance = m_instance,
                               .incarnation = m_incarnation,
                               .first = m_next,
                               .lostBefore = m_lost,
                               .previousHash = m_hash,
                               .hash = {},
                               .decisions = decisions};
    json record = contentOf(batch);
    m_hash = sha256Hex(record.dump());
    m_next += decisions.size();
    m_lost = 0;
    record["hash"] = m_hash;
    return record.dump();
}

void evidence_chain::countLost(std::uint64_t count)
{
    m_lost += count;
    m_next += count;
}

std::optional<evidence_batch> parseBatch(const std::string &record)
{
    const json parsed = json::parse(record, nullptr, false);
    if (parsed.is_discarded() || !parsed.is_object()) {
        return std::nullopt;
    }
    try {
        evidence_batch batch{.instance = parsed.at("instance").get<std::string>(),
                             .incarnation = parsed.at("incarnation").get<std::uint64_t>(),
                             .first = parsed.at("first").get<std::uint64_t>(),
                             .lostBefore = parsed.at("lostBefore").get<std::uint64_t>(),
                             .previousHash = parsed.at("previousHash").get<std::string>(),
                             .hash = parsed.at("hash").get<std::string>(),
                             .decisions = {}};
        for (const auto &item : parsed.at("decisions")) {
            batch.decisions.push_back(fromJson(item));
        }
        return batch;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace wisteriashunt

#include "configuration/reducer.h"

#include "configuration/resource_json.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace wisteriashunt
{

namespace
{

using nlohmann::json;

/// Number of recent changes whose verdicts are remembered, so that a repeated change is applied once.
constexpr std::size_t maxRememberedVerdicts = 1000;

resource resourceFromJson(const std::string &kind, const std::string &name, const json &spec, bool isDelete)
{
    if (kind == "class") {
        return isDelete ? traffic_class{.name = name} : classFromJson(name, spec);
    }
    if (kind == "workspace") {
        return isDelete ? workspace{.name = name} : workspaceFromJson(name, spec);
    }
    if (kind == "endpoint") {
        return isDelete ? endpoint{.name = name} : endpointFromJson(name, spec);
    }
    throw json::other_error::create(501, "expected resource kind class, workspace or endpoint, found " + kind, nullptr);
}

configuration_change changeFromJson(const json &record)
{
    const bool isDelete = record.at("op").get<std::string>() == "delete";
    return {.changeId = record.at("changeId").get<std::string>(),
            .author = record.at("author").get<std::string>(),
            .changedAt = record.at("at").get<std::string>(),
            .baseVersion = record.at("base").get<log_offset>(),
            .isDelete = isDelete,
            .value =
                resourceFromJson(record.at("kind").get<std::string>(), record.at("name").get<std::string>(), record.value("spec", json::object()), isDelete)};
}

std::optional<json> parseObject(const std::string &text)
{
    json parsed = json::parse(text, nullptr, false);
    if (parsed.is_discarded() || !parsed.is_object()) {
        return std::nullopt;
    }
    return parsed;
}

} // namespace

std::string makeChangeRecord(const configuration_change &change)
{
    json record{{"type", "change"},
                {"changeId", change.changeId},
                {"author", change.author},
                {"at", change.changedAt},
                {"base", change.baseVersion},
                {"op", change.isDelete ? "delete" : "put"},
                {"kind", kindOf(change.value)},
                {"name", nameOf(change.value)}};
    if (!change.isDelete) {
        record["spec"] = std::visit([](const auto &concrete) { return toJson(concrete); }, change.value);
    }
    return record.dump();
}

bool configuration_reducer::apply(const log_page &page)
{
    if (nextOffset() < page.firstRetained) {
        m_hasGap = true;
        m_buffered.clear();
        m_firstAfterGap = page.firstRetained;
        m_nextInGap = page.firstRetained;
    }
    for (const auto &record : page.records) {
        // A peer's snapshot may have been adopted after this page was requested. A record that is not the next one is skipped; if it
        // is still needed, it is read again.
        if (record.offset == nextOffset()) {
            applyRecord(record);
        }
    }
    return !m_hasGap;
}

void configuration_reducer::applyRecord(const log_record &record)
{
    const auto parsed = parseObject(record.data);
    const bool isSnapshot = parsed && parsed->value("type", "") == "snapshot";
    if (isSnapshot) {
        m_lastSnapshotOffset = record.offset;
    }
    if (!m_hasGap) {
        if (!isSnapshot) {
            applyChange(record);
        }
        m_state.offset = record.offset;
        return;
    }
    m_nextInGap = record.offset + 1;
    m_buffered.push_back(record);
    if (isSnapshot) {
        closeGap(*parsed);
    }
}

void configuration_reducer::closeGap(const json &snapshotRecord)
{
    const json state = snapshotRecord.value("state", json::object());
    const log_offset covered = state.value("offset", log_offset{0});
    // Changes that were appended after the snapshot was made, but before it was appended, precede it in the log and are not covered by it.
    const std::vector<log_record> buffered = m_buffered;
    if (covered + 1 < m_firstAfterGap || !adoptSnapshot(state.dump())) {
        return;
    }
    for (const auto &record : buffered) {
        if (record.offset > m_state.offset) {
            applyChange(record);
            m_state.offset = record.offset;
        }
    }
}

bool configuration_reducer::adoptSnapshot(const std::string &snapshot)
{
    const auto parsed = parseObject(snapshot);
    if (!parsed) {
        return false;
    }
    try {
        configuration_state adopted = stateFromJson(*parsed);
        if (adopted.offset <= m_state.offset) {
            return false;
        }
        // The remembered verdicts are part of the state: readers that remember different ones would diverge on a repeated change.
        m_verdicts.clear();
        m_verdictOrder.clear();
        for (const auto &item : parsed->value("verdicts", json::array())) {
            recordVerdict(item.at(0).get<std::string>(), static_cast<change_verdict>(item.at(1).get<int>()));
        }
        m_state = std::move(adopted);
        m_hasGap = false;
        m_buffered.clear();
        return true;
    } catch (const json::exception &) {
        return false;
    }
}

std::string configuration_reducer::makeSnapshot() const
{
    json snapshot = toJson(m_state);
    json verdicts = json::array();
    for (const auto &changeId : m_verdictOrder) {
        verdicts.push_back({changeId, static_cast<int>(m_verdicts.at(changeId))});
    }
    snapshot["verdicts"] = verdicts;
    return snapshot.dump();
}

std::string configuration_reducer::makeSnapshotRecord() const
{
    return json{{"type", "snapshot"}, {"state", json::parse(makeSnapshot())}}.dump();
}

void configuration_reducer::applyChange(const log_record &record)
{
    const auto parsed = parseObject(record.data);
    if (!parsed || parsed->value("type", "") != "change") {
        return;
    }
    try {
        const configuration_change change = changeFromJson(*parsed);
        if (m_verdicts.contains(change.changeId)) {
            return;
        }
        const auto verdict = std::visit(
            [&](const auto &value) {
                using concrete = std::decay_t<decltype(value)>;
                if constexpr (std::is_same_v<concrete, traffic_class>) {
                    return compareAndSet(m_state.classes, change, record.offset);
                } else if constexpr (std::is_same_v<concrete, workspace>) {
                    return compareAndSet(m_state.workspaces, change, record.offset);
                } else {
                    return compareAndSet(m_state.endpoints, change, record.offset);
                }
            },
            change.value);
        recordVerdict(change.changeId, verdict);
    } catch (const json::exception &) {
        recordVerdict(parsed->value("changeId", ""), change_verdict::malformed);
    }
}

template<typename T>
change_verdict configuration_reducer::compareAndSet(std::map<std::string, versioned<T>> &resources, const configuration_change &change, log_offset offset)
{
    const std::string name = nameOf(change.value);
    const auto existing = resources.find(name);
    const log_offset version = existing == resources.end() ? 0 : existing->second.version;
    if (version != change.baseVersion || (change.isDelete && version == 0)) {
        return change_verdict::conflict;
    }
    if (change.isDelete) {
        resources.erase(existing);
    } else {
        resources[name] = {.value = std::get<T>(change.value), .version = offset, .author = change.author, .changedAt = change.changedAt};
    }
    return change_verdict::accepted;
}

void configuration_reducer::recordVerdict(const std::string &changeId, change_verdict verdict)
{
    if (!m_verdicts.emplace(changeId, verdict).second) {
        return;
    }
    m_verdictOrder.push_back(changeId);
    if (m_verdictOrder.size() > maxRememberedVerdicts) {
        m_verdicts.erase(m_verdictOrder.front());
        m_verdictOrder.erase(m_verdictOrder.begin());
    }
}

const configuration_state &configuration_reducer::state() const
{
    return m_state;
}

change_verdict configuration_reducer::verdictOf(const std::string &changeId) const
{
    const auto found = m_verdicts.find(changeId);
    return found == m_verdicts.end() ? change_verdict::unknown : found->second;
}

log_offset configuration_reducer::lastSnapshotOffset() const
{
    return m_lastSnapshotOffset;
}

log_offset configuration_reducer::nextOffset() const
{
    return m_hasGap ? m_nextInGap : m_state.offset + 1;
}

} // namespace wisteriashunt

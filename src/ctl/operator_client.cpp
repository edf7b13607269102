#include "ctl/operator_client.h"

#include "wisteriashunt/errors.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <random>
#include <thread>

namespace wisteriashunt::ctl
{

namespace
{

constexpr duration adminTimeout = std::chrono::milliseconds(800);
constexpr duration pollInterval = std::chrono::milliseconds(100);
constexpr int okStatus = 200;

std::string generateChangeId()
{
    std::random_device source;
    return absl::StrCat(absl::Hex(source()), absl::Hex(source()), absl::Hex(source()), absl::Hex(source()));
}

std::string currentTimeRfc3339()
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::Now(), absl::UTCTimeZone());
}

template<typename T>
void collect(const std::map<std::string, versioned<T>> &resources, std::vector<versioned<resource>> &all)
{
    for (const auto &[name, item] : resources) {
        all.push_back({.value = item.value, .version = item.version, .author = item.author, .changedAt = item.changedAt});
    }
}

} // namespace

operator_client::operator_client(const client_options &options)
    : m_options(options)
    , m_log(options.logUrl)
    , m_instanceList(options.instancesUrl)
{
}

void operator_client::refresh()
{
    while (true) {
        const log_page page = m_log.read(configurationStream, m_reducer.nextOffset(), duration::zero());
        m_reducer.apply(page);
        if (page.records.empty() || page.records.back().offset + 1 >= page.next) {
            return;
        }
    }
}

const configuration_state &operator_client::state() const
{
    return m_reducer.state();
}

std::vector<versioned<resource>> operator_client::list(const std::string &kind) const
{
    std::vector<versioned<resource>> all;
    if (kind == "class") {
        collect(state().classes, all);
    } else if (kind == "workspace") {
        collect(state().workspaces, all);
    } else if (kind == "endpoint") {
        collect(state().endpoints, all);
    }
    return all;
}

std::optional<versioned<resource>> operator_client::find(const std::string &kind, const std::string &name) const
{
    for (const auto &item : list(kind)) {
        if (nameOf(item.value) == name) {
            return item;
        }
    }
    return std::nullopt;
}

change_result operator_client::write(const resource &value, log_offset base, bool isDelete)
{
    const std::string changeId = generateChangeId();
    appendAndConfirm(
        makeChangeRecord(
            {.changeId = changeId, .author = m_options.author, .changedAt = currentTimeRfc3339(), .baseVersion = base, .isDelete = isDelete, .value = value}),
        changeId);
    const auto existing = find(kindOf(value), nameOf(value));
    return {.verdict = m_reducer.verdictOf(changeId), .version = existing && !isDelete ? existing->version : state().offset};
}

void operator_client::appendAndConfirm(const std::string &record, const std::string &changeId)
{
    const auto deadline = std::chrono::steady_clock::now() + m_options.timeout;
    while (true) {
        try {
            m_log.append(configurationStream, {record});
        } catch (const shunt_error &) {
            // The append may have taken effect although its answer was lost; only the log shows whether it did. Appending again is safe
            // because the reducer applies a change identifier once.
            if (std::chrono::steady_clock::now() >= deadline) {
                throw;
            }
        }
        try {
            refresh();
        } catch (const shunt_error &) {
            if (std::chrono::steady_clock::now() >= deadline) {
                throw;
            }
        }
        if (m_reducer.verdictOf(changeId) != change_verdict::unknown) {
            return;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

std::vector<instance_status> operator_client::queryInstances()
{
    std::vector<instance_status> all;
    for (const auto &row : m_instanceList.read()) {
        instance_status answer{.row = row, .status = std::nullopt};
        try {
            const http_reply reply = m_adminClient.get(absl::StrCat("http://", row.address, ":", row.adminPort, "/status"), adminTimeout);
            auto parsed = nlohmann::json::parse(reply.body, nullptr, false);
            if (reply.status == okStatus && parsed.is_object()) {
                answer.status = std::move(parsed);
            }
        } catch (const shunt_error &) {
            // An instance that does not answer is listed without a status.
        }
        all.push_back(std::move(answer));
    }
    return all;
}

std::vector<std::string> operator_client::waitUntilInForce(log_offset offset,
                                                           const std::function<void(const std::vector<std::string> &pending, std::size_t all)> &progress)
{
    const auto deadline = std::chrono::steady_clock::now() + m_options.timeout;
    while (true) {
        std::vector<std::string> pending;
        const auto all = queryInstances();
        for (const auto &instance : all) {
            if (!instance.status || instance.status->value("configuration", log_offset{0}) < offset) {
                pending.push_back(instance.row.name);
            }
        }
        progress(pending, all.size());
        if (pending.empty() || std::chrono::steady_clock::now() >= deadline) {
            return pending;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

bool operator_client::drain(const std::string &instance)
{
    for (const auto &row : m_instanceList.read()) {
        if (row.name == instance) {
            m_adminClient.post(absl::StrCat("http://", row.address, ":", row.adminPort, "/drain"), "{}", adminTimeout);
            return true;
        }
    }
    return false;
}

audit_report operator_client::readEvidence()
{
    std::vector<log_record> records;
    log_offset from = 1;
    log_offset firstRetained = 1;
    while (true) {
        const log_page page = m_log.read(evidenceStream, from, duration::zero());
        firstRetained = page.firstRetained;
        records.insert(records.end(), page.records.begin(), page.records.end());
        if (page.records.empty() || page.records.back().offset + 1 >= page.next) {
            return audit(records, firstRetained);
        }
        from = page.records.back().offset + 1;
    }
}

} // namespace wisteriashunt::ctl

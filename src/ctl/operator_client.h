/// What the command-line tool does with the platform: read and change the configuration, ask instances, read evidence.
#pragma once

#include "configuration/reducer.h"
#include "evidence/audit.h"
#include "platform/http_platform.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt::ctl
{

/// Process exit codes, documented in docs/OPERATIONS.md.
enum exit_code : int {
    exit_success = 0,
    exit_failure = 1,
    exit_usage = 2,
    exit_invalid = 3,
    exit_conflict = 4,
    exit_not_found = 5,
    exit_wait_expired = 6,
    exit_audit_findings = 7,
};

/// Settings of an operator_client.
struct client_options
{
    std::string logUrl;
    std::string instancesUrl;
    std::string author;
    duration timeout = std::chrono::seconds(30);
};

/// A live instance and what it said of itself; `status` is empty when it did not answer.
struct instance_status
{
    instance_row row;
    std::optional<nlohmann::json> status;
};

/// How a change ended.
struct change_result
{
    change_verdict verdict = change_verdict::unknown;
    log_offset version = 0;
};

/// One operator's view of the system. All calls throw `shunt_error` when the platform does not answer.
class operator_client
{
public:
    explicit operator_client(const client_options &options);

    /// Reads the configuration up to the end of the log.
    void refresh();
    [[nodiscard]] const configuration_state &state() const;

    /// Returns the resource with its version, or nothing.
    [[nodiscard]] std::optional<versioned<resource>> find(const std::string &kind, const std::string &name) const;

    /// Returns all resources of the kind.
    [[nodiscard]] std::vector<versioned<resource>> list(const std::string &kind) const;

    /// Writes the change and reads back how it was judged. A lost answer is asked again and never written as a second change.
    change_result write(const resource &value, log_offset base, bool isDelete);

    [[nodiscard]] std::vector<instance_status> queryInstances();

    /// Waits until every live instance has the offset in force. `progress` gets the names that lack it. Returns those that still lack it at the timeout.
    std::vector<std::string> waitUntilInForce(log_offset offset, const std::function<void(const std::vector<std::string> &pending, std::size_t all)> &progress);

    /// Asks the instance to drain. Returns false if the list does not name it.
    bool drain(const std::string &instance);

    /// Reads the evidence that the log retains.
    [[nodiscard]] audit_report readEvidence();

private:
    void appendAndConfirm(const std::string &record, const std::string &changeId);

    client_options m_options;
    http_log_service m_log;
    http_instance_list m_instanceList;
    http_client m_adminClient;
    configuration_reducer m_reducer;
};

} // namespace wisteriashunt::ctl

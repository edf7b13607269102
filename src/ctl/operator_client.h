/// Client for the command-line tool: reads and changes the configuration, queries instances and reads evidence.
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
    /// Name recorded with changes.
    std::string author;
    /// Time limit for confirming a change and for `waitUntilInForce`.
    duration timeout = std::chrono::seconds(30);
};

/// A listed instance with its reply to /status. `status` is empty without a reply of status 200 that holds a JSON object.
struct instance_status
{
    instance_row row;
    std::optional<nlohmann::json> status;
};

/// Outcome of a change.
struct change_result
{
    change_verdict verdict = change_verdict::unknown;
    /// Version of the resource now in force; for a delete, or if there is no resource, the offset of the configuration.
    log_offset version = 0;
};

/// Client for operator commands. Calls that need the platform throw `shunt_error` when it does not answer.
class operator_client
{
public:
    explicit operator_client(const client_options &options);

    /// Reads the configuration up to the end of the log.
    void refresh();
    [[nodiscard]] const configuration_state &state() const;

    /// Returns the resource with its version, as of the last refresh, or nothing.
    [[nodiscard]] std::optional<versioned<resource>> find(const std::string &kind, const std::string &name) const;

    /// Returns all resources of the kind, as of the last refresh.
    [[nodiscard]] std::vector<versioned<resource>> list(const std::string &kind) const;

    /// Appends the change to the log and reads back its verdict. Retries failed calls until the timeout; the change takes effect at most
    /// once, even if the answer to an append was lost.
    change_result write(const resource &value, log_offset base, bool isDelete);

    /// Asks every listed instance for its status.
    [[nodiscard]] std::vector<instance_status> queryInstances();

    /// Polls until the offset is in force at every listed instance, or until the timeout. After each poll, `progress` gets the names of the
    /// instances where it is not in force and the number of all instances. Returns the names that are left at the end.
    std::vector<std::string> waitUntilInForce(log_offset offset, const std::function<void(const std::vector<std::string> &pending, std::size_t all)> &progress);

    /// Asks the instance to drain. Returns false if it is not in the platform's list.
    bool drain(const std::string &instance);

    /// Reads and audits the evidence that the log retains.
    [[nodiscard]] audit_report readEvidence();

private:
    /// Appends the record, repeatedly if necessary, until the log shows a verdict on the change.
    void appendAndConfirm(const std::string &record, const std::string &changeId);

    client_options m_options;
    http_log_service m_log;
    http_instance_list m_instanceList;
    http_client m_adminClient;
    configuration_reducer m_reducer;
};

} // namespace wisteriashunt::ctl

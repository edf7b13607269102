/// What an entry needs around it in tests: the platform's log, which speaks the published protocol, and settings.
#pragma once

#include "loopback_server.h"

#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt::testing
{

/// Stand-in of the platform's log: keyed topics with one partition, read by newest record or from an offset.
class fake_log
{
public:
    fake_log();
    ~fake_log();
    fake_log(const fake_log &) = delete;
    fake_log &operator=(const fake_log &) = delete;

    /// Appends a record; without a value the key is dropped.
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    /// Appends an endpoint's entry as endpoints write it.
    void putEndpoint(const std::string &id, std::uint16_t port, const std::string &state = "ready");
    void dropEndpoint(const std::string &id);

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::vector<received_request> requests() const;

private:
    struct appended_record
    {
        std::string key;
        std::optional<std::string> value;
    };

    [[nodiscard]] scripted_response serve(const received_request &request);
    [[nodiscard]] std::string newest(const std::string &topic) const;
    [[nodiscard]] std::string recordsFrom(const std::string &topic, std::size_t from) const;
    [[nodiscard]] std::size_t endOf(const std::string &topic) const;

    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<appended_record>> m_topics;
    int m_sequence = 0;
    std::atomic<bool> m_isStopping{false};
    loopback_server m_server;
};

/// Routes of host h.example, by the kind of their requests: /read/, /book/, /short/ (300 ms), /talk/, /draft/ (may be resumed).
/// Workspace north holds key-1; all routes go to service s.
[[nodiscard]] nlohmann::json declarationsForTests();

/// Ports of an entry on loopback.
struct entry_ports
{
    std::uint16_t callers = freePort();
    std::uint16_t readiness = freePort();
    std::uint16_t control = freePort();
};

/// Text of an entry's settings file.
[[nodiscard]] std::string settingsForTests(const entry_ports &ports, std::uint16_t log, const std::vector<std::uint16_t> &seeds = {});

/// The status that the readiness address answers; 0 if nothing answers.
[[nodiscard]] int readinessStatus(std::uint16_t port);

/// The head of a signed success for this request, up to the last field.
[[nodiscard]] std::string okHead(const received_request &request);
[[nodiscard]] std::string attemptIdOf(const received_request &request);
[[nodiscard]] std::string withLength(const std::string &head, const std::string &body);
/// A whole success.
[[nodiscard]] scripted_response ok(const received_request &request, const std::string &body);
[[nodiscard]] std::string chunk(const std::string &data);

} // namespace wisteriashunt::testing

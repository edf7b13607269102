/// Test environment of an entry: a fake of the platform's log, settings, and responses of endpoints.
#pragma once

#include "loopback_server.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt::testing
{

/// Fake of the platform's log that implements the published protocol: keyed topics with one partition, which serve the newest record of
/// each key or the records from an offset on, and take records, if wanted on the condition that the topic ends at an offset.
class fake_log
{
public:
    fake_log();
    ~fake_log();
    fake_log(const fake_log &) = delete;
    fake_log &operator=(const fake_log &) = delete;

    /// Appends a record; a record without a value deletes the key.
    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    /// Appends an endpoint's record in the form that endpoints write.
    void putEndpoint(const std::string &id, std::uint16_t port, const std::string &state = "ready", const std::string &version = "v1");
    /// Deletes an endpoint's record.
    void dropEndpoint(const std::string &id);

    /// Returns from a copy that lacks what was appended within the age: the topics end earlier, their offsets are given out again, and the
    /// epoch, which is named in every answer from then on, rises by one.
    void restore(std::chrono::milliseconds age);
    /// Marks the moment of a copy, and returns from that copy.
    void takeCopy();
    void restoreCopy();
    /// Names this text as the epoch instead.
    void nameEpoch(const std::string &text);
    /// How appends to topics are answered from now on. Appends that are not answered take effect.
    enum class append_mode {
        answered,
        unanswered,
        refused,
    };
    void setAppends(append_mode mode);
    /// Holds back the answers to reads of the topic from now on, or none if it is empty.
    void holdReads(const std::string &topic);
    /// Number of records in a topic.
    [[nodiscard]] std::size_t endOf(const std::string &topic) const;

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::vector<received_request> requests() const;

private:
    struct appended_record
    {
        std::string key;
        std::optional<std::string> value;
        std::chrono::steady_clock::time_point appendedAt;
    };

    void restoreTo(std::chrono::steady_clock::time_point copiedAt);
    [[nodiscard]] scripted_response serve(const received_request &request);
    [[nodiscard]] bool isHeld(const std::string &topic) const;
    [[nodiscard]] scripted_response append(const received_request &request);
    [[nodiscard]] std::string newest(const std::string &topic) const;
    [[nodiscard]] std::string recordsFrom(const std::string &topic, std::size_t from) const;
    /// Status line and fields of an answer, without the length.
    [[nodiscard]] std::string head(const std::string &statusLine) const;

    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<appended_record>> m_topics;
    append_mode m_appends = append_mode::answered;
    std::string m_heldTopic;
    int m_sequence = 0;
    int m_epoch = 0;
    std::chrono::steady_clock::time_point m_copiedAt;
    /// Value of the field that names the epoch; none is sent if empty.
    std::string m_namedEpoch;
    std::atomic<bool> m_isStopping{false};
    loopback_server m_server;
};

/// Declares the routes /read/ (safe), /book/ (unsafe), /short/ (unsafe, timeout 300 ms), /talk/ (stream) and /draft/ (resumable stream)
/// of host h.example. All routes lead to service s. Workspace north has the API key key-1.
[[nodiscard]] nlohmann::json declarationsForTests();

/// Loopback ports of an entry.
struct entry_ports
{
    std::uint16_t callers = freePort();
    std::uint16_t readiness = freePort();
    std::uint16_t control = freePort();
};

/// Returns the text of an entry's settings file. `log` is the port of the log, `seeds` are control ports of other entries.
[[nodiscard]] std::string settingsForTests(const entry_ports &ports, std::uint16_t log, const std::vector<std::uint16_t> &seeds = {});

/// Requests the readiness path and returns the status code, or 0 without a response.
[[nodiscard]] int readinessStatus(std::uint16_t port);

/// Head of a signed 200 response to the request, without the empty line that ends it.
[[nodiscard]] std::string okHead(const received_request &request);
/// Value of the request's X-Attempt-Id field; empty if there is none.
[[nodiscard]] std::string attemptIdOf(const received_request &request);
/// Appends Content-Length, the end of the head and the body.
[[nodiscard]] std::string withLength(const std::string &head, const std::string &body);
/// A complete signed 200 response.
[[nodiscard]] scripted_response ok(const received_request &request, const std::string &body);
/// One chunk of a chunked body.
[[nodiscard]] std::string chunk(const std::string &data);

} // namespace wisteriashunt::testing

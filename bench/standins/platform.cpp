// Stand-in for the platform: an append-only log and a lagging list of instances. /control sets retention, lost answers and outages.
#include "transport/http_server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <deque>
#include <iostream>
#include <thread>

ABSL_FLAG(std::string, address, "127.0.0.1", "Address to serve at.");
ABSL_FLAG(int, port, 9000, "Port to serve at.");
ABSL_FLAG(int, list_lag_ms, 500, "Interval at which the published instance list is updated, in milliseconds.");
ABSL_FLAG(int, list_expiry_ms, 5000, "Time after its last announcement at which an instance leaves the list, in milliseconds.");
ABSL_FLAG(int, append_ms, 2, "Duration of one append, in milliseconds.");

namespace
{

using nlohmann::json;
using wisteriashunt::server_reply;
using wisteriashunt::server_request;

constexpr int okStatus = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int unavailable = 503;
constexpr std::size_t maxPageRecords = 1000;
const absl::Duration maxHoldTime = absl::Seconds(60);

struct log_stream
{
    std::uint64_t firstOffset = 1;
    std::deque<std::string> records;
};

struct announced_instance
{
    json row;
    absl::Time announcedAt;
};

class platform
{
public:
    server_reply serve(const server_request &request)
    {
        if (request.path == "/control") {
            return control(request);
        }
        if (request.path == "/v1/instances") {
            return request.method == "POST" ? announce(request) : list();
        }
        const std::vector<std::string> parts = absl::StrSplit(request.path, '/', absl::SkipEmpty());
        if (parts.size() == 4 && parts[0] == "v1" && parts[1] == "streams" && parts[3] == "records") {
            return request.method == "POST" ? append(parts[2], request) : read(parts[2], request);
        }
        return {.status = notFound, .body = "{}"};
    }

private:
    server_reply control(const server_request &request)
    {
        const json command = json::parse(request.body, nullptr, false);
        if (!command.is_object()) {
            return {.status = badRequest, .body = "{}"};
        }
        const absl::MutexLock lock(&m_mutex);
        m_isDown = command.value("down", m_isDown);
        m_heldStream = command.value("holdStream", m_heldStream);
        m_isListDown = command.value("listDown", m_isListDown);
        m_answersToDrop = command.value("loseAnswers", m_answersToDrop);
        if (command.contains("retain")) {
            auto &stream = m_streams[command["retain"].at("stream").get<std::string>()];
            const auto retainedCount = command["retain"].at("records").get<std::size_t>();
            while (stream.records.size() > retainedCount) {
                stream.records.pop_front();
                ++stream.firstOffset;
            }
        }
        return {.body = "{}"};
    }

    server_reply append(const std::string &name, const server_request &request)
    {
        const json command = json::parse(request.body, nullptr, false);
        if (!command.is_object() || !command.contains("records")) {
            return {.status = badRequest, .body = "{}"};
        }
        // Appends are serialised because the real service allows only several hundred per second.
        const absl::MutexLock appending(&m_appendMutex);
        absl::SleepFor(absl::Milliseconds(absl::GetFlag(FLAGS_append_ms)));
        const absl::MutexLock lock(&m_mutex);
        if (m_isDown) {
            return {.status = unavailable, .body = "{}"};
        }
        auto &stream = m_streams[name];
        const std::uint64_t offset = stream.firstOffset + stream.records.size();
        for (const auto &record : command["records"]) {
            stream.records.push_back(record.get<std::string>());
        }
        if (m_answersToDrop > 0) {
            --m_answersToDrop;
            return {.closeWithoutReply = true};
        }
        return {.body = json{{"offset", offset}}.dump()};
    }

    server_reply read(const std::string &name, const server_request &request)
    {
        std::uint64_t from = 1;
        std::int64_t waitMs = 0;
        const auto readParameter = [&](const char *key, auto &value) {
            const auto found = request.query.find(key);
            return found == request.query.end() || absl::SimpleAtoi(found->second, &value);
        };
        if (!readParameter("from", from) || !readParameter("wait_ms", waitMs)) {
            return {.status = badRequest, .body = "{}"};
        }
        const absl::MutexLock lock(&m_mutex);
        const auto isReleased = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return m_heldStream != name; };
        m_mutex.AwaitWithTimeout(absl::Condition(&isReleased), maxHoldTime);
        const auto hasRecord = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
            const auto &stream = m_streams[name];
            return m_isDown || stream.firstOffset + stream.records.size() > from;
        };
        m_mutex.AwaitWithTimeout(absl::Condition(&hasRecord), absl::Milliseconds(waitMs));
        if (m_isDown) {
            return {.status = unavailable, .body = "{}"};
        }
        const auto &stream = m_streams[name];
        const std::uint64_t next = stream.firstOffset + stream.records.size();
        json page{{"first", stream.firstOffset}, {"next", next}, {"records", json::array()}};
        for (std::uint64_t offset = std::max(from, stream.firstOffset); offset < next && page["records"].size() < maxPageRecords; ++offset) {
            page["records"].push_back({{"offset", offset}, {"data", stream.records[offset - stream.firstOffset]}});
        }
        return {.status = okStatus, .body = page.dump()};
    }

    server_reply announce(const server_request &request)
    {
        const json row = json::parse(request.body, nullptr, false);
        if (!row.is_object() || !row.contains("name")) {
            return {.status = badRequest, .body = "{}"};
        }
        const absl::MutexLock lock(&m_mutex);
        if (m_isListDown) {
            return {.status = unavailable, .body = "{}"};
        }
        m_instances[row["name"].get<std::string>()] = {.row = row, .announcedAt = absl::Now()};
        return {.body = "{}"};
    }

    server_reply list()
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_isListDown) {
            return {.status = unavailable, .body = "{}"};
        }
        // Callers get a copy that is updated at most once per --list_lag_ms.
        const absl::Time now = absl::Now();
        if (now - m_publishedAt >= absl::Milliseconds(absl::GetFlag(FLAGS_list_lag_ms))) {
            m_publishedAt = now;
            m_publishedList = json::array();
            for (const auto &[name, instance] : m_instances) {
                if (now - instance.announcedAt < absl::Milliseconds(absl::GetFlag(FLAGS_list_expiry_ms))) {
                    m_publishedList.push_back(instance.row);
                }
            }
        }
        return {.body = json{{"instances", m_publishedList}}.dump()};
    }

    absl::Mutex m_appendMutex;
    absl::Mutex m_mutex;
    std::map<std::string, log_stream> m_streams ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, announced_instance> m_instances ABSL_GUARDED_BY(m_mutex);
    json m_publishedList ABSL_GUARDED_BY(m_mutex) = json::array();
    absl::Time m_publishedAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    bool m_isDown ABSL_GUARDED_BY(m_mutex) = false;
    /// Reads of this stream wait, for up to `maxHoldTime`; empty for none.
    std::string m_heldStream ABSL_GUARDED_BY(m_mutex);
    bool m_isListDown ABSL_GUARDED_BY(m_mutex) = false;
    /// Number of further appends that take effect but get their connection closed instead of an answer.
    int m_answersToDrop ABSL_GUARDED_BY(m_mutex) = 0;
};

volatile std::sig_atomic_t stopRequested = 0;

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGTERM, [](int) { stopRequested = 1; });
    std::signal(SIGPIPE, SIG_IGN);
    platform services;
    const wisteriashunt::http_server server(
        absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_port), [&](const server_request &request) { return services.serve(request); });
    std::cout << "platform ready" << std::endl;
    while (stopRequested == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    std::_Exit(0);
}

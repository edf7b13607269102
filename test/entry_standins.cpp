#include "entry_standins.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <set>
#include <stdexcept>

namespace wisteriashunt::testing
{

namespace
{

using nlohmann::json;

constexpr const char *declarationsTopic = "keyed.op";
constexpr const char *endpointsTopic = "keyed.servers";

std::string bigEndianBytes(std::uint64_t value, int bytes)
{
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    }
    return out;
}

/// Returns the value of a query parameter; empty if it is missing.
std::string queryField(const std::string &target, const std::string &name)
{
    auto begin = target.find('?');
    while (begin != std::string::npos) {
        const auto end = std::min(target.find('&', begin + 1), target.size());
        const auto field = target.substr(begin + 1, end - begin - 1);
        if (field.compare(0, name.size() + 1, name + "=") == 0) {
            return field.substr(name.size() + 1);
        }
        begin = end == target.size() ? std::string::npos : end;
    }
    return {};
}

std::size_t numberField(const std::string &target, const std::string &name)
{
    const auto text = queryField(target, name);
    return text.empty() ? 0 : std::stoul(text);
}

} // namespace

fake_log::fake_log()
    : m_server([this](const received_request &request) { return serve(request); })
{
    put(declarationsTopic, "config", declarationsForTests().dump());
}

fake_log::~fake_log()
{
    m_isStopping = true;
}

void fake_log::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({.key = key, .value = value, .appendedAt = std::chrono::steady_clock::now()});
}

void fake_log::restore(std::chrono::milliseconds age)
{
    restoreTo(std::chrono::steady_clock::now() - age);
}

void fake_log::takeCopy()
{
    const std::lock_guard lock(m_mutex);
    m_copiedAt = std::chrono::steady_clock::now();
}

void fake_log::restoreCopy()
{
    restoreTo(m_copiedAt);
}

void fake_log::restoreTo(std::chrono::steady_clock::time_point copiedAt)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[topic, records] : m_topics) {
        std::erase_if(records, [&](const appended_record &record) { return record.appendedAt > copiedAt; });
    }
    m_namedEpoch = std::to_string(++m_epoch);
}

void fake_log::nameEpoch(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_namedEpoch = text;
}

std::string fake_log::head(const std::string &statusLine) const
{
    const std::lock_guard lock(m_mutex);
    return statusLine + "\r\n" + (m_namedEpoch.empty() ? "" : "Store-Era: " + m_namedEpoch + "\r\n");
}

void fake_log::putEndpoint(const std::string &id, std::uint16_t port, const std::string &state, const std::string &version)
{
    const json entry{{"service", "s"},
                     {"address", "127.0.0.1:" + std::to_string(port)},
                     {"zone", "z"},
                     {"version", version},
                     {"slots", 4},
                     {"state", state},
                     {"born", 1},
                     {"sequence", ++m_sequence}};
    put(endpointsTopic, id, entry.dump());
}

void fake_log::dropEndpoint(const std::string &id)
{
    put(endpointsTopic, id, std::nullopt);
}

std::uint16_t fake_log::port() const
{
    return m_server.port();
}

std::vector<received_request> fake_log::requests() const
{
    return m_server.requests();
}

std::size_t fake_log::endOf(const std::string &topic) const
{
    const std::lock_guard lock(m_mutex);
    const auto records = m_topics.find(topic);
    return records == m_topics.end() ? 0 : records->second.size();
}

scripted_response fake_log::serve(const received_request &request)
{
    constexpr std::chrono::milliseconds pollInterval{10};
    const auto topic = queryField(request.target, "topic");
    while (isHeld(topic) && !m_isStopping) {
        std::this_thread::sleep_for(pollInterval);
    }
    if (request.target.find("log-newest") != std::string::npos) {
        return {.parts = {withLength(head("HTTP/1.1 200 OK"), newest(topic))}};
    }
    if (request.target.find("log-append") != std::string::npos) {
        return append(request);
    }
    const auto from = numberField(request.target, "from");
    const std::chrono::milliseconds wait(numberField(request.target, "wait_ms"));
    for (std::chrono::milliseconds waited{0}; waited < wait && endOf(topic) <= from && !m_isStopping; waited += pollInterval) {
        std::this_thread::sleep_for(pollInterval);
    }
    if (from > endOf(topic)) {
        return {.parts = {withLength(head("HTTP/1.1 410 Gone"), R"({"first":0})")}};
    }
    return {.parts = {withLength(head("HTTP/1.1 200 OK"), recordsFrom(topic, from))}};
}

void fake_log::holdReads(const std::string &topic)
{
    const std::lock_guard lock(m_mutex);
    m_heldTopic = topic;
}

bool fake_log::isHeld(const std::string &topic) const
{
    const std::lock_guard lock(m_mutex);
    return !topic.empty() && topic == m_heldTopic;
}

void fake_log::setAppends(append_mode mode)
{
    const std::lock_guard lock(m_mutex);
    m_appends = mode;
}

scripted_response fake_log::append(const received_request &request)
{
    constexpr std::size_t lengthBytes = 4;
    const auto answer = [this](const std::string &statusLine, const json &body) {
        return scripted_response{.parts = {withLength(head("HTTP/1.1 " + statusLine), body.dump())}};
    };
    const auto topic = queryField(request.target, "topic");
    std::unique_lock lock(m_mutex);
    const auto mode = m_appends;
    auto &records = m_topics[topic];
    const auto end = records.size();
    if (mode == append_mode::refused) {
        lock.unlock();
        return answer("503 Service Unavailable", json::object());
    }
    if (request.target.find("&at=") != std::string::npos && numberField(request.target, "at") != end) {
        lock.unlock();
        return answer("412 Precondition Failed", {{"end", end}});
    }
    const std::size_t keyLength = static_cast<unsigned char>(request.body.at(lengthBytes));
    records.push_back({.key = request.body.substr(lengthBytes + 1, keyLength),
                       .value = request.body.substr(lengthBytes + 1 + keyLength),
                       .appendedAt = std::chrono::steady_clock::now()});
    lock.unlock();
    return mode == append_mode::unanswered ? scripted_response{.isSilent = true} : answer("200 OK", {{"offset", end}, {"end", end + 1}});
}

std::string fake_log::newest(const std::string &topic) const
{
    const std::lock_guard lock(m_mutex);
    json items = json::array();
    std::set<std::string> seen;
    const auto found = m_topics.find(topic);
    const std::vector<appended_record> none;
    const auto &records = found == m_topics.end() ? none : found->second;
    for (std::size_t offset = records.size(); offset-- > 0;) {
        const auto &record = records[offset];
        if (seen.insert(record.key).second && record.value) {
            items.push_back({{"key", record.key}, {"value", absl::Base64Escape(*record.value)}, {"offset", offset}});
        }
    }
    return json{{"items", items}, {"has_more", false}, {"end", records.size()}}.dump();
}

std::string fake_log::recordsFrom(const std::string &topic, std::size_t from) const
{
    constexpr int offsetBytes = 8;
    constexpr int lengthBytes = 4;
    const std::lock_guard lock(m_mutex);
    const auto found = m_topics.find(topic);
    const std::vector<appended_record> none;
    const auto &records = found == m_topics.end() ? none : found->second;
    std::string out = bigEndianBytes(records.size(), offsetBytes) + bigEndianBytes(0, offsetBytes);
    for (std::size_t offset = from; offset < records.size(); ++offset) {
        const auto &record = records[offset];
        const std::string content = bigEndianBytes(record.key.size(), 1) + record.key + record.value.value_or("");
        out += bigEndianBytes(content.size(), lengthBytes) + content;
    }
    return out;
}

json declarationsForTests()
{
    const auto route = [](const std::string &prefix, const std::string &kind, int attempts, bool resumable, int timeout) {
        return json{{"name", kind},
                    {"host", "h.example"},
                    {"path_prefix", prefix},
                    {"kind", kind},
                    {"service", "s"},
                    {"max_attempts", attempts},
                    {"resumable", resumable},
                    {"timeout_ms", timeout},
                    {"target_latency_ms", 300},
                    {"priority", 0},
                    {"public", false}};
    };
    return {{"version", 1},
            {"routes",
             {route("/read/", "safe", 2, false, 3000),
              route("/book/", "unsafe", 2, false, 3000),
              route("/short/", "unsafe", 2, false, 300),
              route("/talk/", "stream", 1, false, 5000),
              route("/draft/", "stream", 2, true, 5000)}},
            {"services", {{{"name", "s"}, {"max_conns", 50}}}},
            {"tenants", {{{"name", "north"}, {"api_keys", {"key-1"}}, {"priority", 1}}}},
            {"limits", {{"max_header_bytes", 4096}, {"max_body_bytes", 100000}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}};
}

std::string settingsForTests(const entry_ports &ports, std::uint16_t log, const std::vector<std::uint16_t> &seeds)
{
    const std::string local = "127.0.0.1:";
    json settings{{"node_name", "entry"},
                  {"zone", "z"},
                  {"listen",
                   {{"front", local + std::to_string(ports.callers)},
                    {"ready", local + std::to_string(ports.readiness)},
                    {"control", local + std::to_string(ports.control)}}},
                  {"limits", {{"memory_mb", 260}, {"max_fds", 4200}, {"link_mbps", 20}}},
                  {"bounds",
                   {{"grace_period_s", 8},
                    {"drain_timeout_ms", 2000},
                    {"config_converge_ms", 2000},
                    {"retry_budget_ratio", 0.2},
                    {"retry_budget_slack", 52},
                    {"budget_window_s", 10}}},
                  {"platform", {{"address", local + std::to_string(log)}}}};
    for (const auto seed : seeds) {
        settings["seed_addrs"].push_back(local + std::to_string(seed));
    }
    return settings.dump();
}

int readinessStatus(std::uint16_t port)
{
    constexpr std::size_t statusEnd = 12;
    constexpr std::size_t statusBegin = 9;
    try {
        raw_caller caller(port);
        caller.send("GET /wisteriashunt/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const auto reply = caller.readAll();
        return reply.size() < statusEnd ? 0 : std::stoi(reply.substr(statusBegin, statusEnd - statusBegin));
    } catch (const std::runtime_error &) {
        return 0;
    }
}

std::string withLength(const std::string &head, const std::string &body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string attemptIdOf(const received_request &request)
{
    const auto id = findHeader(request.headers, "x-attempt-id");
    return !id ? "" : *id;
}

std::string okHead(const received_request &request)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attemptIdOf(request) + "\r\nX-Server-Seal: seal-1\r\n";
}

scripted_response ok(const received_request &request, const std::string &body)
{
    return {.parts = {withLength(okHead(request), body)}};
}

std::string chunk(const std::string &data)
{
    std::string out;
    appendChunk(out, data);
    return out;
}

} // namespace wisteriashunt::testing

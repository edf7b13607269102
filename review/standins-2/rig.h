/// Stand-ins for the scripts of the second review: the platform's store, engines and clients as the pages describe them, the record of what
/// was sent, answered and run, and an entry as a process of its own. All addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig
{

using nlohmann::json;
using steady = std::chrono::steady_clock;

/// Milliseconds since the start of the script.
inline double now()
{
    static const auto begin = steady::now();
    return std::chrono::duration<double, std::milli>(steady::now() - begin).count();
}

inline void sleepMs(double milliseconds)
{
    if (milliseconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(milliseconds));
    }
}

inline void sleepUntil(double time)
{
    sleepMs(time - now());
}

/// Writes record.txt, a line for each event.
class recorder
{
public:
    explicit recorder(const std::string &folder)
        : m_file(folder + "/record.txt")
    {
    }

    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%10.1f ms  ", now());
        m_file << time << line << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Returns a port of 127.0.0.1 that is free for TCP and UDP. Ports below those that the kernel gives to outgoing connections, so that none of these
/// takes it before it is used.
inline int freePort()
{
    constexpr int first = 12000;
    constexpr int count = 18000;
    static int next = static_cast<int>(getpid()) * 131 % count;
    for (;;) {
        const int port = first + next++ % count;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        bool isFree = true;
        for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int descriptor = socket(AF_INET, type, 0);
            isFree = isFree && bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
            close(descriptor);
        }
        if (isFree) {
            return port;
        }
    }
}

inline std::string addressOf(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline int connectTo(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(descriptor);
        return -1;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

/// A message with its head in lines and its whole body.
struct message
{
    std::string first;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    /// When its last byte had arrived.
    double at = 0;

    [[nodiscard]] std::string field(const char *name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string method() const
    {
        return first.substr(0, first.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    [[nodiscard]] int status() const
    {
        return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9);
    }
};

/// One side of a connection: reads messages with lengths or chunks, and writes bytes.
class connection
{
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~connection()
    {
        if (m_descriptor >= 0) {
            close(m_descriptor);
        }
    }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// Returns nullopt at the end of the connection, or when nothing more has come for the time.
    std::optional<message> read(int timeoutMs = 60000)
    {
        message got;
        while (m_buffer.find("\r\n\r\n") == std::string::npos) {
            if (!more(timeoutMs)) {
                return std::nullopt;
            }
        }
        const auto end = m_buffer.find("\r\n\r\n");
        std::istringstream head(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        for (std::string line; std::getline(head, line);) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (got.first.empty()) {
                got.first = line;
            } else if (colon != std::string::npos) {
                const auto begin = line.find_first_not_of(' ', colon + 1);
                got.fields.emplace_back(line.substr(0, colon), begin == std::string::npos ? "" : line.substr(begin));
            }
        }
        const bool isChunked = strcasecmp(got.field("Transfer-Encoding").c_str(), "chunked") == 0;
        if (!(isChunked ? readChunks(got, timeoutMs) : readLength(got, timeoutMs))) {
            return std::nullopt;
        }
        got.at = now();
        return got;
    }

    bool write(const std::string &bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const auto count = send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// True if the peer has closed or reset the connection.
    [[nodiscard]] bool isClosed() const
    {
        pollfd polled{.fd = m_descriptor, .events = POLLIN | POLLRDHUP, .revents = 0};
        if (poll(&polled, 1, 0) <= 0) {
            return false;
        }
        char byte = 0;
        return (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0 || recv(m_descriptor, &byte, 1, MSG_PEEK) == 0;
    }

    /// Ends the connection with a reset, as at the end of a process with unread bytes.
    void reset()
    {
        const linger now{.l_onoff = 1, .l_linger = 0};
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        shutdown(m_descriptor, SHUT_RDWR);
    }

    [[nodiscard]] int descriptor() const
    {
        return m_descriptor;
    }

private:
    bool more(int timeoutMs)
    {
        pollfd polled{.fd = m_descriptor, .events = POLLIN, .revents = 0};
        if (poll(&polled, 1, timeoutMs) <= 0) {
            return false;
        }
        char bytes[16384];
        const auto count = recv(m_descriptor, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool take(std::string &to, std::size_t count, int timeoutMs)
    {
        while (m_buffer.size() < count) {
            if (!more(timeoutMs)) {
                return false;
            }
        }
        to.append(m_buffer, 0, count);
        m_buffer.erase(0, count);
        return true;
    }

    bool readLength(message &got, int timeoutMs)
    {
        const auto length = got.field("Content-Length");
        return length.empty() || take(got.body, std::strtoul(length.c_str(), nullptr, 10), timeoutMs);
    }

    bool readChunks(message &got, int timeoutMs)
    {
        for (;;) {
            while (m_buffer.find("\r\n") == std::string::npos) {
                if (!more(timeoutMs)) {
                    return false;
                }
            }
            const auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
            m_buffer.erase(0, m_buffer.find("\r\n") + 2);
            std::string lineEnd;
            if (!take(got.body, size, timeoutMs) || !take(lineEnd, 2, timeoutMs)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }

    int m_descriptor;
    std::string m_buffer;
};

/// Accepts connections and serves each in a thread of its own until it ends.
class server
{
public:
    using serve_hook = std::function<void(connection &)>;

    explicit server(serve_hook serve)
        : m_serve(std::move(serve))
        , m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), size);
        listen(m_descriptor, 256);
        getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_acceptor = std::thread([this] { acceptAll(); });
    }
    ~server()
    {
        end();
    }
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    [[nodiscard]] int port() const
    {
        return m_port;
    }

    /// Ends the server like its process: nobody listens any more, and open connections are reset.
    void end()
    {
        if (m_isEnded.exchange(true)) {
            return;
        }
        shutdown(m_descriptor, SHUT_RDWR);
        m_acceptor.join();
        close(m_descriptor);
        std::vector<std::thread> threads;
        {
            const std::lock_guard lock(m_mutex);
            for (auto *open : m_open) {
                open->reset();
            }
            threads.swap(m_threads);
        }
        for (auto &thread : threads) {
            thread.join();
        }
    }

    [[nodiscard]] bool isEnded() const
    {
        return m_isEnded;
    }

private:
    void acceptAll()
    {
        for (;;) {
            const int descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            const int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard lock(m_mutex);
            m_threads.emplace_back([this, descriptor] {
                connection served(descriptor);
                {
                    const std::lock_guard openLock(m_mutex);
                    m_open.insert(&served);
                }
                m_serve(served);
                const std::lock_guard openLock(m_mutex);
                m_open.erase(&served);
            });
        }
    }

    serve_hook m_serve;
    int m_descriptor;
    int m_port = 0;
    std::atomic<bool> m_isEnded{false};
    std::mutex m_mutex;
    std::set<connection *> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

inline std::string answerOf(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string base64(const std::string &bytes)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out.push_back(i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=');
        }
    }
    return out;
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
        out.push_back(static_cast<char>(value >> (8 * i) & 255U));
    }
    return out;
}

/// The platform's store in the form of a log, as PROTOCOL.md describes it, with the topics' only partition.
class store
{
public:
    explicit store(recorder &log)
        : m_log(log)
        , m_server([this](connection &peer) { serve(peer); })
    {
    }
    ~store()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isEnding = true;
        }
        m_changed.notify_all();
        m_server.end();
    }

    [[nodiscard]] int port() const
    {
        return m_server.port();
    }

    /// Appends a record; one without a value drops the key. Returns when the store has it, which is its acknowledgement.
    double put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
        m_log.write("store: " + topic + "/" + key + (value.empty() ? " is dropped" : " is written"));
        return now();
    }

    /// Time that each answer takes.
    std::atomic<double> answerMs{4};
    /// When a call for new records of the engines' entries was last answered.
    std::atomic<double> engineReadAt{-1};
    /// When a call for a new configuration last arrived.
    std::atomic<double> configurationCallAt{-1};

    /// All connections that are open now go silent for good; new ones work.
    double silenceOpenConnections()
    {
        const std::lock_guard lock(m_mutex);
        ++m_generation;
        m_changed.notify_all();
        return now();
    }

private:
    struct record
    {
        std::string key;
        std::string value;
    };

    static std::string parameter(const std::string &target, const std::string &name)
    {
        for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
            if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
                const auto begin = at + name.size() + 2;
                return target.substr(begin, target.find('&', begin) - begin);
            }
        }
        return {};
    }

    void serve(connection &peer)
    {
        int generation = 0;
        {
            const std::lock_guard lock(m_mutex);
            generation = m_generation;
        }
        while (auto request = peer.read()) {
            if (request->target().find("log-read?topic=keyed.op") != std::string::npos) {
                configurationCallAt = now();
            }
            const auto answer = answerTo(*request, generation);
            sleepMs(answerMs);
            const bool isSilent = [&] {
                const std::lock_guard lock(m_mutex);
                return generation != m_generation || m_isEnding;
            }();
            if (isSilent) {
                continue;
            }
            if (!peer.write(answer)) {
                return;
            }
            if (request->target().find("topic=keyed.servers") != std::string::npos) {
                engineReadAt = now();
            }
        }
    }

    std::string answerTo(const message &request, int generation)
    {
        const auto target = request.target();
        const auto topic = parameter(target, "topic");
        std::unique_lock lock(m_mutex);
        auto &records = m_topics[topic];
        if (target.find("/log-newest") != std::string::npos) {
            std::map<std::string, std::size_t> newest;
            for (std::size_t i = 0; i < records.size(); ++i) {
                newest[records[i].key] = i;
            }
            json items = json::array();
            for (const auto &[key, offset] : newest) {
                if (!records[offset].value.empty()) {
                    items.push_back({{"key", key}, {"value", base64(records[offset].value)}, {"offset", offset}});
                }
            }
            return answerOf("200 OK", "Content-Type: application/json\r\n", json{{"items", items}, {"has_more", false}, {"end", records.size()}}.dump());
        }
        if (target.find("/log-read") != std::string::npos) {
            const auto from = std::strtoul(parameter(target, "from").c_str(), nullptr, 10);
            const auto wait = std::chrono::milliseconds(std::atoi(parameter(target, "wait_ms").c_str()));
            m_changed.wait_for(lock, wait, [&] { return records.size() > from || generation != m_generation || m_isEnding; });
            std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
            for (std::size_t i = from; i < records.size(); ++i) {
                const auto content = bigEndian(records[i].key.size(), 1) + records[i].key + records[i].value;
                body += bigEndian(content.size(), 4) + content;
            }
            return answerOf("200 OK", "", body);
        }
        if (target.find("/log-append") != std::string::npos && request.body.size() > 5) {
            const auto keyBytes = static_cast<unsigned char>(request.body[4]);
            records.push_back({request.body.substr(5, keyBytes), request.body.substr(5 + keyBytes)});
            m_changed.notify_all();
            const json answer{{"offset", records.size() - 1}, {"end", records.size()}};
            return answerOf("200 OK", "Content-Type: application/json\r\n", answer.dump());
        }
        return answerOf("404 Not Found", "", "");
    }

    recorder &m_log;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<record>> m_topics;
    int m_generation = 0;
    bool m_isEnding = false;
    server m_server;
};

/// A request that an engine took.
struct arrival
{
    std::string attempt;
    double at = 0;
    bool isRun = false;
};

/// A sound engine of plain requests. It runs a request for the time and answers; it drops one whose connection closes.
class engine
{
public:
    engine(recorder &log, std::string id, std::string service, double workMs)
        : m_log(log)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_workMs(workMs)
        , m_server([this](connection &peer) { serve(peer); })
    {
    }

    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }

    /// What the engine writes to the store of itself.
    [[nodiscard]] std::string entry(const std::string &state = "ready", int sequence = 1) const
    {
        return json{{"service", m_service},
                    {"address", addressOf(m_server.port())},
                    {"zone", "zone-a"},
                    {"version", "v1"},
                    {"slots", 6},
                    {"state", state},
                    {"cold_left_ms", 0},
                    {"sequence", sequence},
                    {"born", 1765000000000}}
            .dump();
    }

    [[nodiscard]] std::vector<arrival> arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

    void end()
    {
        m_log.write("engine " + m_id + " ends");
        m_server.end();
    }

private:
    void serve(connection &peer)
    {
        while (auto request = peer.read()) {
            if (request->target() == "/health") {
                peer.write(answerOf("200 OK", "X-Instance-Id: " + m_id + "\r\n", ""));
                continue;
            }
            const auto attempt = request->field("X-Attempt-Id");
            const auto expected = request->field("X-Expect-Instance");
            const auto echo = "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + m_id + "\r\n";
            if (!expected.empty() && expected != m_id) {
                note({attempt, request->at, false});
                peer.write(answerOf("421 Misdirected Request", echo + "X-Not-Executed: 1\r\n", ""));
                continue;
            }
            note({attempt, request->at, true});
            m_log.write("engine " + m_id + " runs " + attempt);
            for (const double until = now() + m_workMs; now() < until;) {
                if (peer.isClosed()) {
                    m_log.write("engine " + m_id + " drops " + attempt + ": its connection has closed");
                    return;
                }
                sleepMs(std::min(5.0, until - now()));
            }
            if (m_server.isEnded() || !peer.write(answerOf("200 OK", echo + "X-Server-Seal: seal-" + attempt + "\r\n", "done " + attempt))) {
                m_log.write("engine " + m_id + " could not answer " + attempt);
                return;
            }
        }
    }

    void note(arrival noted)
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back(std::move(noted));
    }

    recorder &m_log;
    std::string m_id;
    std::string m_service;
    double m_workMs;
    mutable std::mutex m_mutex;
    std::vector<arrival> m_arrivals;
    server m_server;
};

/// How a client's request ended.
struct outcome
{
    std::string attempt;
    double sentAt = 0;
    double endedAt = 0;
    /// 0: the connection closed without a whole answer.
    int status = 0;
    std::string body;
};

/// Sends one request on a connection of its own.
inline outcome ask(recorder &log, int port, const std::string &attempt, const std::string &head, const std::string &body, int timeoutMs)
{
    outcome ended{.attempt = attempt};
    connection peer(connectTo(port));
    ended.sentAt = now();
    const auto fields = "X-Attempt-Id: " + attempt + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (peer.descriptor() >= 0 && peer.write(head + fields + body)) {
        if (const auto answer = peer.read(timeoutMs)) {
            ended.status = answer->status();
            ended.body = answer->body;
        }
    }
    ended.endedAt = now();
    log.write("client: " + attempt + " sent at " + std::to_string(static_cast<long>(ended.sentAt)) + " ends with "
              + (ended.status == 0 ? "no answer" : std::to_string(ended.status)));
    return ended;
}

/// An entry of the system, started with the command of the deploy file.
class entry
{
public:
    /// `seeds`: control ports of entries to contact first; its own if there are none.
    entry(const store &platform, const std::string &name, const std::vector<int> &seeds = {}, int control = 0)
        : m_front(freePort())
        , m_ready(freePort())
        , m_control(control == 0 ? freePort() : control)
    {
        json seedAddresses = json::array();
        for (const int seed : seeds.empty() ? std::vector{m_control} : seeds) {
            seedAddresses.push_back(addressOf(seed));
        }
        char folder[] = "/tmp/review-2-XXXXXX";
        m_folder = mkdtemp(folder);
        const json settings{
            {"node_name", name},
            {"role", "entry"},
            {"machine_class", "front"},
            {"serves", {"front", "control"}},
            {"ip", "127.0.0.1"},
            {"zone", "zone-a"},
            {"region", "region"},
            {"zones", {{"zone-a", "region"}}},
            {"listen", {{"front", addressOf(m_front)}, {"ready", addressOf(m_ready)}, {"control", addressOf(m_control)}}},
            {"port_range", {7200, 7215}},
            {"seed_addrs", seedAddresses},
            {"bootstrap", true},
            {"limits", {{"cpu_share", 0.19}, {"cpu_cores", 1}, {"memory_mb", 260}, {"max_fds", 4200}, {"link_mbps", 1000.0}, {"disk_mb", 0}}},
            {"data_dir", nullptr},
            {"discovery", "platform"},
            {"entry", "vip"},
            {"heartbeat_ms", 1200},
            {"contracts", {"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"}},
            {"fault_tolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
            {"bounds",
             {{"touch_ms", 3000},
              {"drain_timeout_ms", 2000},
              {"grace_period_s", 8},
              {"lost_ms", 200},
              {"config_converge_ms", 2000},
              {"rollback_slack_ms", 250},
              {"retry_budget_ratio", 0.2},
              {"budget_window_s", 10},
              {"retry_budget_slack", 52}}},
            {"platform", {{"address", addressOf(platform.port())}, {"form", "log"}, {"writes_per_s", 400}, {"reads_per_s", 2000}, {"parts", 24}}},
        };
        std::ofstream(m_folder + "/node.json") << settings.dump(2);
    }
    ~entry()
    {
        if (m_process > 0 && !m_hasEnded) {
            kill(m_process, SIGKILL);
            waitpid(m_process, nullptr, 0);
        }
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    void start()
    {
        m_process = fork();
        if (m_process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open((m_folder + "/log.txt").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            const auto boot = "WISTERIASHUNT_BOOT=" + m_folder + "/node.json";
            const char *const arguments[] = {"target/wisteriashunt-entry", nullptr};
            const char *const environment[] = {boot.c_str(), "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", nullptr};
            execve(arguments[0], const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
            _exit(127);
        }
    }

    /// Asks like the platform's balancer.
    [[nodiscard]] bool isReady() const
    {
        connection peer(connectTo(m_ready));
        if (peer.descriptor() < 0 || !peer.write("GET /wisteriashunt/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")) {
            return false;
        }
        const auto answer = peer.read(500);
        return answer && answer->status() == 200;
    }

    [[nodiscard]] bool waitUntilReady(double timeoutMs) const
    {
        for (const double until = now() + timeoutMs; now() < until; sleepMs(20)) {
            if (isReady()) {
                return true;
            }
        }
        return false;
    }

    void signal(int number) const
    {
        kill(m_process, number);
    }

    /// Returns how the process has ended, as a text; nullopt while it runs.
    std::optional<std::string> ending()
    {
        int status = 0;
        if (!m_hasEnded && waitpid(m_process, &status, WNOHANG) == m_process) {
            m_hasEnded = true;
            m_ending = WIFEXITED(status) ? "exit status " + std::to_string(WEXITSTATUS(status)) : "signal " + std::to_string(WTERMSIG(status));
        }
        return m_hasEnded ? std::optional(m_ending) : std::nullopt;
    }

    /// The lines that the process has written which contain the text.
    [[nodiscard]] std::vector<std::string> logLines(const std::string &text) const
    {
        std::vector<std::string> found;
        std::ifstream log(m_folder + "/log.txt");
        for (std::string line; std::getline(log, line);) {
            if (line.find(text) != std::string::npos) {
                found.push_back(line);
            }
        }
        return found;
    }

    [[nodiscard]] int front() const
    {
        return m_front;
    }

private:
    int m_front;
    int m_ready;
    int m_control;
    std::string m_folder;
    pid_t m_process = -1;
    bool m_hasEnded = false;
    std::string m_ending;
};

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace rig

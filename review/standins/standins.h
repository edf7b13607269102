// Stand-ins for the review's scripts: the platform's store, engines and clients, all on loopback addresses, and the start and end of
// entries as processes of their own. They follow the users' pages; nothing here is linked with the project's code.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using clock_type = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Seconds since the program started.
double now();
void sleepFor(milliseconds time);

/// Whether the case is played with its disruption: false if TROUBLE is 0.
bool hasTrouble();

/// Writes a line with its time to record.txt and to standard output.
void record(const std::string &line);
void openRecord(const std::string &path);

/// A message as it was read: start line, header fields with names in lower case, and body.
struct message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Whether the body has arrived in full.
    bool isWhole = false;

    /// Value of the first field with the name; empty if there is none.
    std::string field(const std::string &name) const;
    /// Status code of an answer; 0 if there is none.
    int status() const;
    /// Path and query of a request.
    std::string target() const;
};

/// A TCP connection with a read buffer.
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// Connects to a loopback port. The size of the receive buffer is left to the kernel if it is 0.
    static std::unique_ptr<connection> open(std::uint16_t port, int receiveBuffer = 0);

    /// Returns false if the peer has closed.
    bool send(std::string_view bytes);
    /// Reads one message: a request, or an answer with a length, chunks or up to the end of the connection. A message that is cut is
    /// returned as far as it has come; nullopt if nothing came. Waits at most until the time is over.
    std::optional<message> read(milliseconds most, bool isAnswer);
    /// Reads and discards what has come, at most so many bytes.
    std::size_t readSome(std::size_t most);
    bool hasEnded() const
    {
        return m_hasEnded;
    }
    void close();
    int descriptor() const
    {
        return m_descriptor;
    }

private:
    bool fill(clock_type::time_point until);
    bool take(std::string &line, clock_type::time_point until);
    bool takeBytes(std::string &to, std::size_t count, clock_type::time_point until);

    int m_descriptor;
    std::string m_buffer;
    bool m_hasEnded = false;
};

/// Accepts connections on a loopback port, each on a thread of its own.
class server
{
public:
    using serve_hook = std::function<void(connection &)>;

    explicit server(serve_hook serve);
    ~server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    serve_hook m_serve;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
    std::map<int, int> m_open;
    std::thread m_acceptor;
};

/// The platform's store: keyed topics with one partition.
class store
{
public:
    store();

    void put(const std::string &topic, const std::string &key, const std::optional<std::string> &value);
    /// Writes the configuration. The answer of the store is its acknowledgement.
    void putConfig(const std::string &json);
    /// Writes the entry of an engine.
    void putEngine(const std::string &id,
                   const std::string &service,
                   std::uint16_t port,
                   int slots,
                   const std::string &state = "ready",
                   const std::string &version = "v1");
    void removeEngine(const std::string &id);
    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    struct stored
    {
        std::string key;
        std::optional<std::string> value;
    };

    void serve(connection &caller);
    std::string newest(const std::string &topic);
    std::string records(const std::string &topic, std::size_t from, milliseconds wait);

    std::mutex m_mutex;
    std::map<std::string, std::vector<stored>> m_topics;
    std::map<std::string, int> m_sequences;
    server m_server;
};

/// A link to a loopback port, for TCP. While it is cut, it carries nothing in either direction and closes nothing.
class tcp_link
{
public:
    explicit tcp_link(std::uint16_t target);

    void cut(bool isCut)
    {
        m_isCut = isCut;
    }
    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    void forward(connection &caller);

    std::uint16_t m_target;
    std::atomic<bool> m_isCut{false};
    server m_server;
};

/// A link between the control addresses of two entries, for TCP and datagrams. Each entry sees the other one at a port of the link.
class peer_link
{
public:
    /// The ports at which each is seen by the other are known from the start; the entries' own ones are set before they start.
    peer_link();
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    void connect(std::uint16_t left, std::uint16_t right);
    void cut(bool isCut)
    {
        m_isCut = isCut;
    }
    /// Port at which the right entry is seen by the left one.
    std::uint16_t rightForLeft() const
    {
        return m_ports[0];
    }
    /// Port at which the left entry is seen by the right one.
    std::uint16_t leftForRight() const
    {
        return m_ports[1];
    }

private:
    void run();

    std::atomic<bool> m_isCut{false};
    std::atomic<bool> m_isStopping{false};
    /// Listener, datagram socket and port of each side.
    std::array<int, 2> m_listeners{};
    std::array<int, 2> m_sockets{};
    std::array<std::uint16_t, 2> m_ports{};
    /// Control ports of the left and the right entry.
    std::array<std::uint16_t, 2> m_entries{};
    std::thread m_thread;
};

/// What an engine did with the request of one attempt.
struct run
{
    std::string attempt;
    std::string engine;
    double began = 0;
    /// When the whole answer had been handed to the kernel; 0 if it never was.
    double ended = 0;
    std::size_t bodyBytes = 0;
};

/// Notes of all engines, by attempt.
class run_book
{
public:
    void begin(const std::string &attempt, const std::string &engine, std::size_t bodyBytes);
    void end(const std::string &attempt);
    /// Returns the runs of an attempt.
    std::vector<run> of(const std::string &attempt);
    std::size_t size();

private:
    std::mutex m_mutex;
    std::vector<run> m_runs;
};

/// What a client saw of one attempt.
struct call
{
    std::string attempt;
    double sentAt = 0;
    /// Whether all of the request could be handed to the kernel.
    bool wasSent = false;
    /// Status of the answer; 0 if none came.
    int status = 0;
    /// Whether the answer is complete by its framing.
    bool isWhole = false;
    std::size_t bodyBytes = 0;
    /// When the answer was complete, the connection had closed, or the client had waited long enough.
    double endedAt = 0;
    /// Whether the entry closed the connection.
    bool hasClosed = false;
};

/// Notes of all clients.
class call_book
{
public:
    void add(const call &made);
    std::vector<call> all();
    /// Writes what was sent, answered and run to record.txt.
    void write(run_book &runs);

private:
    std::mutex m_mutex;
    std::vector<call> m_calls;
};

/// Sends the request and reads its answer. `parts` are written one after the other, with the pause between them.
call callOnce(connection &client, const std::string &attempt, const std::vector<std::string_view> &parts, milliseconds pause, milliseconds wait);

/// Head of an engine's answer, without the empty line that ends it.
std::string answerHead(const message &request, int status, const std::string &reason);

/// One entry of the system, as a process with its settings file.
class entry
{
public:
    struct options
    {
        std::string name = "front-a-1";
        std::uint16_t store = 0;
        std::vector<std::uint16_t> seeds = {};
        int memoryMegabytes = 110;
    };

    explicit entry(const options &settings);
    ~entry();
    entry(const entry &) = delete;
    entry &operator=(const entry &) = delete;

    /// Starts the process by the command of the deploy file, in the root of the repository.
    void start();
    void signal(int number);
    /// Waits for the end of the process; returns its exit status, or the negated number of the signal that ended it; nullopt if it goes on.
    std::optional<int> waitForEnd(milliseconds most);
    bool isReady() const;
    /// Waits until the entry answers the readiness question with 200.
    bool waitUntilReady(milliseconds most = milliseconds(8000)) const;

    /// Memory of the process that is not backed by files, in bytes; 0 if it has ended.
    std::size_t memoryBytes() const;

    std::uint16_t front() const
    {
        return m_front;
    }
    std::uint16_t control() const
    {
        return m_control;
    }

private:
    options m_options;
    std::uint16_t m_front;
    std::uint16_t m_ready;
    std::uint16_t m_control;
    std::string m_directory;
    pid_t m_process = 0;
};

std::uint16_t freePort();

/// A route of the configuration, as JSON.
struct route
{
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 5000;
    int maxAttempts = 1;
    bool isResumable = false;
};
struct limits
{
    int maxHeaderBytes = 16384;
    int maxBodyBytes = 4194304;
    int headerTimeoutMs = 3000;
    int idleTimeoutMs = 15000;
};
std::string configuration(int version, const std::vector<route> &routes, const std::vector<std::string> &services, const limits &bounds = {});

/// Start and fields of a client's request, without the fields that frame the body and without the empty line that ends them.
std::string requestHead(const std::string &method, const std::string &target, const std::string &attempt, int deadlineMs);

/// The exit status of a script.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

} // namespace review

#include "crowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace wisteriashunt::testing
{

namespace
{

constexpr std::chrono::milliseconds crowdPeriod{5};
constexpr std::chrono::milliseconds samplePeriod{20};

/// Sends in a row of one caller, so that all callers make progress side by side.
constexpr int sendsInARow = 4;

void setResetOnClose(int descriptor)
{
    const struct linger option
    {
        .l_onoff = 1, .l_linger = 0
    };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

std::size_t anonymousBytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("RssAnon:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
        }
    }
    return 0;
}

/// Bytes that connections to the local ports have received and not read.
std::size_t receivedBytes(const std::vector<std::uint16_t> &ports)
{
    constexpr std::string_view listening = "0A";
    constexpr int hexadecimal = 16;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    std::size_t bytes = 0;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> slot >> local >> remote >> state >> queues;
        const auto port = std::stoul(local.substr(local.find(':') + 1), nullptr, hexadecimal);
        if (state != listening && std::find(ports.begin(), ports.end(), port) != ports.end()) {
            bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
        }
    }
    return bytes;
}

std::size_t openDescriptors(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(process) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

void raise(std::atomic<std::size_t> &peak, std::size_t value)
{
    peak = std::max(peak.load(), value);
}

} // namespace

crowd::crowd(crowd_options options)
    : m_options(std::move(options))
    , m_members(m_options.connections)
    , m_thread([this] { run(); })
{
}

crowd::~crowd()
{
    m_isStopping = true;
    m_thread.join();
    for (const auto &caller : m_members) {
        if (caller.descriptor >= 0) {
            if (m_resetsAtEnd) {
                setResetOnClose(caller.descriptor);
            }
            ::close(caller.descriptor);
        }
    }
}

std::size_t crowd::opened() const
{
    return m_opened;
}

std::size_t crowd::sentBytes() const
{
    return m_sentBytes;
}

void crowd::resetAtEnd()
{
    m_resetsAtEnd = true;
}

void crowd::open(member &caller)
{
    caller.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    caller.sent = 0;
    caller.openedAt = std::chrono::steady_clock::now();
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_options.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    static_cast<void>(connect(caller.descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    ++m_opened;
}

std::string_view crowd::nextBytes(const member &caller) const
{
    if (caller.sent < m_options.begin.size()) {
        return std::string_view(m_options.begin).substr(caller.sent);
    }
    if (std::chrono::steady_clock::now() - caller.openedAt < m_options.pauseAfterBegin) {
        return {};
    }
    const auto afterBegin = caller.sent - m_options.begin.size();
    const auto repeatedBytes = m_options.repeated.size() * m_options.repeats;
    if (afterBegin < repeatedBytes) {
        return std::string_view(m_options.repeated).substr(afterBegin % m_options.repeated.size());
    }
    const auto afterRepeated = afterBegin - repeatedBytes;
    if (afterRepeated < m_options.trickled.size() && std::chrono::steady_clock::now() >= caller.nextTrickle) {
        return std::string_view(m_options.trickled).substr(afterRepeated, 1);
    }
    return {};
}

void crowd::advance(member &caller)
{
    for (int sends = 0; sends < sendsInARow; ++sends) {
        const auto bytes = nextBytes(caller);
        if (bytes.empty()) {
            break;
        }
        const auto count = send(caller.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0) {
            if (errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN) {
                ::close(std::exchange(caller.descriptor, -1));
                return;
            }
            break;
        }
        caller.sent += static_cast<std::size_t>(count);
        m_sentBytes += static_cast<std::size_t>(count);
        caller.nextTrickle = std::chrono::steady_clock::now() + m_options.tricklePause;
    }
    if (m_options.reads) {
        constexpr std::size_t bufferBytes = 65536;
        static thread_local std::array<char, bufferBytes> buffer;
        if (recv(caller.descriptor, buffer.data(), buffer.size(), 0) == 0) {
            ::close(std::exchange(caller.descriptor, -1));
        }
    }
}

void crowd::run()
{
    const auto begin = std::chrono::steady_clock::now();
    std::size_t begun = 0;
    while (!m_isStopping) {
        const auto elapsed = std::chrono::steady_clock::now() - begin;
        const auto due = elapsed >= m_options.arrival ? m_members.size() : m_members.size() * elapsed / m_options.arrival;
        for (; begun < due && !m_isStopping; ++begun) {
            open(m_members[begun]);
            advance(m_members[begun]);
        }
        for (std::size_t i = 0; i < begun && !m_isStopping; ++i) {
            if (m_members[i].descriptor < 0) {
                if (!m_options.returns) {
                    continue;
                }
                open(m_members[i]);
            }
            advance(m_members[i]);
        }
        std::this_thread::sleep_for(crowdPeriod);
    }
}

resource_watch::resource_watch(pid_t process, std::vector<std::uint16_t> ports)
    : m_process(process)
    , m_ports(std::move(ports))
    , m_thread([this] {
        while (!m_isStopping) {
            sample();
            std::this_thread::sleep_for(samplePeriod);
        }
    })
{
}

resource_watch::~resource_watch()
{
    m_isStopping = true;
    m_thread.join();
}

void resource_watch::sample()
{
    raise(m_peakBytes, anonymousBytes(m_process) + receivedBytes(m_ports));
    raise(m_peakDescriptors, openDescriptors(m_process));
}

std::size_t resource_watch::peakBytes() const
{
    return m_peakBytes;
}

std::size_t resource_watch::peakDescriptors() const
{
    return m_peakDescriptors;
}

void raiseDescriptorLimit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace wisteriashunt::testing

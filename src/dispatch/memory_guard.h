/// Decides what an entry gives up as its buffers fill: first the backlog of each answer, then new requests, at last the largest unread answers. What goes of
/// requests that are not whole is decided in memory_relief.h.
///
/// An answer that its caller does not read is buffered up to a bound, and then no more is taken from the endpoint. With few requests the bound
/// is high, because an endpoint may cut off an answer of which nothing is taken for some seconds.
#pragma once

#include <cstddef>
#include <vector>

namespace wisteriashunt
{

/// Settings of an entry's buffers.
struct memory_options
{
    /// Most bytes that bodies and unread answers may take together; no limit if 0. The backlogs of answers share an eighth of it, since each may exceed its
    /// bound by what one read brings.
    std::size_t budgetBytes = 0;
    /// Bounds of the unread bytes of one answer. The lower one holds also while memory is short, and leaves room for some events.
    std::size_t minBacklogBytes = 8 * 1024;
    std::size_t maxBacklogBytes = 64 * 1024;
};

/// What an entry does until the next decision.
struct memory_decision
{
    /// Answers get the least backlog.
    bool isShort = false;
    /// Answers to break off, by their place among those given, largest first.
    std::vector<std::size_t> dropped;

    bool operator==(const memory_decision &) const = default;
};

/// Length from which on the body of a message is long: it is not copied, and a request with one needs room for long requests.
inline constexpr std::size_t longBodyBytes = 64 * 1024;

/// What messages of callers take, and how much they may. A limit of 0 is none.
struct memory_use
{
    std::size_t taken = 0;
    std::size_t limit = 0;
    /// Of these: whole requests, with what is kept of their answers. The limit is for long requests.
    std::size_t running = 0;
    std::size_t runningLimit = 0;
};

/// Whether there is memory to run a request of so many bytes. A short one may use all but a reserve for answers and connections.
[[nodiscard]] bool hasRoomForRequest(const memory_use &use, std::size_t requestBytes);

/// Whether an answer may go on of which so many bytes are kept. A short one may exceed the limit by the reserve, since its request has run.
[[nodiscard]] bool hasRoomForAnswer(const memory_use &use, std::size_t answerBytes);

/// Returns what to do while bodies take so many bytes, and answers have so many bytes that their callers have not read.
[[nodiscard]] memory_decision decideOnMemory(const memory_options &options, std::size_t bodyBytes, const std::vector<std::size_t> &unreadAnswers);

/// Returns the unread bytes of one answer above which no more is taken from its endpoint.
[[nodiscard]] std::size_t answerBacklog(const memory_options &options, std::size_t openRequests, bool isShort);

} // namespace wisteriashunt

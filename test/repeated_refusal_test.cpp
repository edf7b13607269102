// Tests that an endpoint's earlier refusal that it writes once more is not taken for the answer to a request that it runs.
#include "gateway_fixture.h"

#include <map>
#include <mutex>

namespace wisteriashunt::testing
{
namespace
{

/// Which attempt the refusals name.
enum class named_attempt {
    own,
    other,
    none,
};

enum class copy_time {
    with_the_first,
    while_idle,
    before_the_next_answer,
};

struct repeated_refusal
{
    std::string status;
    std::string path;
    named_attempt named = named_attempt::own;
    copy_time time = copy_time::before_the_next_answer;
    bool isByteByByte = false;
    int copies = 1;
};

std::string nameOf(const repeated_refusal &repeated)
{
    return repeated.status + " " + repeated.path + " ID " + std::to_string(static_cast<int>(repeated.named)) + " time "
        + std::to_string(static_cast<int>(repeated.time)) + (repeated.isByteByByte ? " byte by byte " : " ") + std::to_string(repeated.copies);
}

std::string refusalOf(const repeated_refusal &repeated, const std::string &attempt)
{
    const auto id = repeated.named == named_attempt::none ? "" : "X-Attempt-Id: " + (repeated.named == named_attempt::own ? attempt : "other") + "\r\n";
    return withLength("HTTP/1.1 " + repeated.status + " Refused\r\n" + id + "X-Not-Executed: 1\r\n", "");
}

std::vector<std::string> partsOf(const std::string &bytes, bool isByteByByte)
{
    std::vector<std::string> parts;
    for (std::size_t i = 0; i < bytes.size() && isByteByByte; ++i) {
        parts.emplace_back(1, bytes[i]);
    }
    return isByteByByte ? parts : std::vector{bytes};
}

bool promisesNotRun(const std::string &answer)
{
    for (const std::string status : {"408", "421", "429", "503"}) {
        if (answer.starts_with("HTTP/1.1 " + status)) {
            return true;
        }
    }
    return false;
}

class repeated_refusal_test : public gateway_test
{
protected:
    /// Starts an endpoint that refuses each attempt when it comes first, and runs it when it comes again. On the connection on which it has
    /// refused, it writes that refusal once more.
    void startEndpoint()
    {
        start([this](const received_request &got) {
            const std::lock_guard lock(m_mutex);
            const auto attempt = attemptIdOf(got);
            // Each connection is served by a thread of its own.
            auto &written = m_written[std::this_thread::get_id()];
            return m_arrivals[attempt]++ == 0 ? refuse(attempt, written) : run(got, attempt, written);
        });
    }

    std::string call(const std::string &attempt)
    {
        auto bytes = request(m_repeated.path);
        const std::string standard = "X-Attempt-Id: a1";
        bytes.replace(bytes.find(standard), standard.size(), "X-Attempt-Id: " + attempt);
        // Some answers are never found.
        const std::string deadline = "X-Deadline-Ms: 5000";
        bytes.replace(bytes.find(deadline), deadline.size(), "X-Deadline-Ms: 400");
        return callOnce(bytes);
    }

    int runsOf(const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[attempt];
    }

    void startAnew(const repeated_refusal &repeated)
    {
        // What the endpoint still writes for the case before arrives on an idle connection, which is closed for it.
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        const std::lock_guard lock(m_mutex);
        m_repeated = repeated;
        m_arrivals.clear();
        m_runs.clear();
        m_written.clear();
    }

private:
    scripted_response refuse(const std::string &attempt, std::string &written) const
    {
        written = refusalOf(m_repeated, attempt);
        scripted_response refused{.parts = {written}, .pause = std::chrono::milliseconds(m_repeated.time == copy_time::while_idle ? 20 : 0)};
        if (m_repeated.time == copy_time::with_the_first) {
            refused.parts.front() += written;
        } else if (m_repeated.time == copy_time::while_idle) {
            refused.parts.push_back(written);
        }
        return refused;
    }

    scripted_response run(const received_request &got, const std::string &attempt, const std::string &written)
    {
        ++m_runs[attempt];
        scripted_response answer{.pause = std::chrono::milliseconds(m_repeated.isByteByByte ? 1 : 30)};
        for (int i = 0; i < m_repeated.copies && !written.empty() && m_repeated.time == copy_time::before_the_next_answer; ++i) {
            const auto copy = partsOf(written, m_repeated.isByteByByte);
            answer.parts.insert(answer.parts.end(), copy.begin(), copy.end());
        }
        answer.parts.push_back(ok(got, "id: 1\ndata: ran\n\n").parts.front());
        return answer;
    }

    std::mutex m_mutex;
    repeated_refusal m_repeated;
    std::map<std::string, int> m_arrivals;
    std::map<std::string, int> m_runs;
    std::map<std::thread::id, std::string> m_written;
};

// Callers were told that a request had not run which the endpoint was running.
TEST_F(repeated_refusal_test, IsNotTheAnswerToTheSameAttemptThatComesAgain)
{
    startEndpoint();
    int number = 0;
    for (const std::string status : {"503", "429", "421", "408"}) {
        for (const std::string path : {"/read/", "/book/", "/talk/", "/draft/"}) {
            for (const auto named : {named_attempt::own, named_attempt::other, named_attempt::none}) {
                // The answer that is waited for is never found, so one status is enough.
                if (named == named_attempt::none && status != "503") {
                    continue;
                }
                for (const auto time : {copy_time::with_the_first, copy_time::while_idle, copy_time::before_the_next_answer}) {
                    const repeated_refusal repeated{
                        .status = status, .path = path, .named = named, .time = time, .isByteByByte = number % 2 == 1, .copies = 1 + number % 3};
                    startAnew(repeated);
                    // With another's ID, the endpoint never answers the first one.
                    const auto attempt = "a" + std::to_string(++number);
                    if (named != named_attempt::other) {
                        static_cast<void>(call(attempt));
                    }
                    const auto second = call(attempt);
                    const bool hasRun = runsOf(attempt) > 0;
                    EXPECT_FALSE(hasRun && promisesNotRun(second)) << nameOf(repeated) << ": " << second;
                    EXPECT_LE(runsOf(attempt), 1) << nameOf(repeated);
                }
            }
        }
    }
}

// Without an ID, a refusal behind an answer to another request was taken for the own one.
TEST_F(repeated_refusal_test, WithoutAnIdIsNotBelievedBehindAnAnswerToAnotherRequest)
{
    std::atomic<int> runs{0};
    start([&](const received_request &got) {
        ++runs;
        const auto copy = refusalOf({.status = "503", .named = named_attempt::other}, "") + refusalOf({.status = "503", .named = named_attempt::none}, "");
        return scripted_response{.parts = {copy, ok(got, "ran").parts.front()}, .pause = std::chrono::milliseconds(30)};
    });
    const auto answer = callOnce(request("/book/"));
    EXPECT_EQ(runs, 1);
    EXPECT_FALSE(promisesNotRun(answer)) << answer;
}

// A pause that an endpoint had asked for long ago kept requests away from it.
TEST_F(repeated_refusal_test, DoesNotAskForItsPauseAgain)
{
    start([](const received_request &got) {
        const auto copy = withLength("HTTP/1.1 503 Refused\r\nX-Attempt-Id: other\r\nX-Not-Executed: 1\r\nRetry-After: 5\r\n", "");
        return scripted_response{.parts = {copy, ok(got, "ran").parts.front()}, .pause = std::chrono::milliseconds(10)};
    });
    for (int i = 0; i < 3; ++i) {
        const auto answer = callOnce(request("/read/"));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
    }
}

} // namespace
} // namespace wisteriashunt::testing

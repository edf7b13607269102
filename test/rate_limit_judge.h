/// Judges whether an endpoint got more requests than it declared it takes, as the users' rule says.
#pragma once

#include "wisteriashunt/time.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wisteriashunt::testing
{

/// Requests that one endpoint received, and the limits on requests per second that it declared. Times must not decrease from call to call.
class rate_limit_judge
{
public:
    /// The endpoint declares this limit from now on; nullopt for none.
    void declare(std::optional<double> perSecond, time_point now)
    {
        m_declared.push_back({.at = now, .perSecond = perSecond});
        if (!perSecond) {
            m_told.clear();
        }
    }

    /// An entry has forwarded an answer with the limit in force.
    void tell(const std::string &entry, time_point now)
    {
        const auto excused = m_excusedUntil.find(entry);
        const bool isExcused = excused != m_excusedUntil.end() && now < excused->second;
        if (!isExcused && !m_declared.empty() && m_declared.back().perSecond) {
            m_told.try_emplace(entry, now);
        }
    }

    /// The entry was stopped, frozen or cut off. Its requests don't count until it has known the limit again, and not before the time.
    void excuse(const std::string &entry, time_point until)
    {
        m_told.erase(entry);
        m_excusedUntil[entry] = until;
    }

    /// The endpoint receives a request of an entry. Requests of entries that have known the limit for less than toldFor don't count.
    void receive(const std::string &entry, time_point now)
    {
        const auto told = m_told.find(entry);
        ++m_received;
        if (told == m_told.end() || now - told->second < toldFor) {
            return;
        }
        m_counted.push_back(now);
        const auto first = std::upper_bound(m_counted.begin(), m_counted.end(), now - window);
        const auto allowed = allowedUntil(now);
        const auto excess = static_cast<double>(m_counted.end() - first) - allowed;
        if (now - limitedSince() >= settleTime && excess > m_worstExcess + roundingError) {
            m_worstExcess = excess;
            m_worst = std::to_string(m_counted.end() - first) + " requests in 4 s, allowed " + std::to_string(allowed);
        }
    }

    /// Positive if more requests were received than allowed.
    [[nodiscard]] double worstExcess() const
    {
        return m_worstExcess;
    }
    /// The requests and the allowance of the worst window.
    [[nodiscard]] const std::string &worst() const
    {
        return m_worst;
    }
    /// All requests, counted or not.
    [[nodiscard]] int received() const
    {
        return m_received;
    }

private:
    struct declaration
    {
        time_point at;
        std::optional<double> perSecond;
    };

    static constexpr std::chrono::seconds window{4};
    static constexpr std::chrono::milliseconds toldFor{500};
    static constexpr std::chrono::seconds settleTime{3};
    /// Of allowedUntil(); far below one request.
    static constexpr double roundingError = 1e-6;
    static constexpr double allowedShare = 1.5;
    static constexpr double allowedBurst = 5;

    /// Start of the time in which the endpoint has declared limits without a break.
    [[nodiscard]] time_point limitedSince() const
    {
        time_point since;
        for (auto each = m_declared.rbegin(); each != m_declared.rend() && each->perSecond; ++each) {
            since = each->at;
        }
        return since;
    }

    /// Requests allowed in the window that ends now. The largest limit of the last toldFor counts at each moment.
    [[nodiscard]] double allowedUntil(time_point now) const
    {
        constexpr std::chrono::milliseconds step{50};
        double sum = 0;
        for (auto at = now - window; at < now; at += step) {
            sum += largestLimit(at - toldFor, at);
        }
        return allowedShare * sum * toSeconds(step) + allowedBurst;
    }

    [[nodiscard]] double largestLimit(time_point from, time_point to) const
    {
        double largest = 0;
        for (std::size_t i = 0; i < m_declared.size(); ++i) {
            const bool isOver = i + 1 < m_declared.size() && m_declared[i + 1].at <= from;
            if (!isOver && m_declared[i].at <= to) {
                largest = std::max(largest, m_declared[i].perSecond.value_or(std::numeric_limits<double>::infinity()));
            }
        }
        // Before the first declaration, the limit that was declared first counts.
        return largest == 0 && !m_declared.empty() ? m_declared.front().perSecond.value_or(0) : largest;
    }

    std::vector<declaration> m_declared;
    std::map<std::string, time_point> m_told;
    std::map<std::string, time_point> m_excusedUntil;
    std::vector<time_point> m_counted;
    int m_received = 0;
    double m_worstExcess = 0;
    std::string m_worst = "no window over its allowance";
};

} // namespace wisteriashunt::testing

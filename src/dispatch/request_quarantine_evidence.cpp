// How likely it is that a trait causes the crashes that implicate it.
#include "dispatch/request_quarantine.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace wisteriashunt
{

bool request_quarantine::isExplained(const service_state &state, const known_crash &crash, request_trait trait)
{
    return std::any_of(state.held.begin(), state.held.end(), [&](const auto &held) {
        const auto &combination = held.first;
        const bool areOfOneKind = kindOf(combination) == trait.kind;
        return !combination.contains(trait) && std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const suspect_request &request) {
            // A request and the parts of its prompt remain suspected together.
            return isSubset(combination, request.traits) && (areOfOneKind || !request.traits.contains(trait));
        });
    });
}

std::set<std::uint64_t> request_quarantine::unexplainedCrashes(const service_state &state, request_trait trait)
{
    std::set<std::uint64_t> crashes;
    const auto suspects = state.suspects.find(trait);
    if (suspects == state.suspects.end()) {
        return crashes;
    }
    for (const auto &[crashKey, attempts] : suspects->second) {
        if (!isExplained(state, state.crashes.at(crashKey), trait)) {
            crashes.insert(crashKey);
        }
    }
    return crashes;
}

std::size_t request_quarantine::countSeparate(const service_state &state, const std::set<std::uint64_t> &crashes, duration separation)
{
    std::vector<time_point> times;
    for (const auto key : crashes) {
        times.push_back(state.crashes.at(key).at);
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    time_point lastCounted;
    for (const auto at : times) {
        if (count == 0 || at - lastCounted >= separation) {
            ++count;
            lastCounted = at;
        }
    }
    return count;
}

std::size_t request_quarantine::brokenWithout(const service_state &state, request_trait trait, time_point since)
{
    // Requests that broke beside one with the trait say nothing about how often others break without it.
    std::size_t broken = 0;
    for (const auto &[key, crash] : state.crashes) {
        const bool hasTrait =
            std::any_of(crash.suspects.begin(), crash.suspects.end(), [trait](const suspect_request &request) { return request.traits.contains(trait); });
        broken += crash.at >= since && !hasTrait && !isExplained(state, crash, trait) ? crash.ownSuspects.size() : 0;
    }
    return broken;
}

std::size_t request_quarantine::requestsNeeded(const service_state &state, request_trait part, time_point since, std::uint64_t answersSince) const
{
    const auto otherBroken = brokenWithout(state, part, since);
    // Rule of succession: the share of broken requests, starting from one broken and one answered.
    const double brokenShare = static_cast<double>(otherBroken + 1) / static_cast<double>(otherBroken + answersSince + 2);
    const double needed = std::log(m_options.accidentProbability) / std::log(brokenShare);
    return std::max(m_options.requestsToHold, static_cast<std::size_t>(std::ceil(needed)));
}

std::size_t request_quarantine::crashesNeeded(const service_state &state, request_trait request, const std::set<std::uint64_t> &crashes) const
{
    time_point since = time_point::max();
    for (const auto key : crashes) {
        if (const auto crash = state.crashes.find(key); crash != state.crashes.end()) {
            since = std::min(since, crash->second.at - m_options.accidentWindow);
        }
    }
    std::uint64_t answersBefore = state.answers;
    for (const auto &[key, crash] : state.crashes) {
        if (crash.at >= since) {
            answersBefore = std::min(answersBefore, crash.answersBefore);
        }
    }
    const auto broken = static_cast<double>(brokenWithout(state, request, since)) + m_options.priorBroken;
    const auto answered = static_cast<double>(state.answers - answersBefore) + m_options.priorRequests - m_options.priorBroken;
    const double needed = std::log(m_options.accidentProbability) / std::log(broken / (broken + answered));
    return std::max(m_options.crashesToHold, static_cast<std::size_t>(std::ceil(needed)));
}

bool request_quarantine::isLikelyPart(const service_state &state, request_trait part, const std::set<std::uint64_t> &crashes) const
{
    if (crashes.size() < m_options.crashesToHold) {
        return false;
    }
    std::set<std::uint64_t> attempts;
    std::uint64_t answersBefore = state.answers;
    time_point first = time_point::max();
    for (const auto key : crashes) {
        const auto &implicating = state.suspects.at(part).at(key);
        const auto &crash = state.crashes.at(key);
        attempts.insert(implicating.begin(), implicating.end());
        answersBefore = std::min(answersBefore, crash.answersBefore);
        first = std::min(first, crash.at);
    }
    const auto meanwhile = static_cast<std::size_t>(std::count_if(
        state.crashes.begin(), state.crashes.end(), [&](const auto &crash) { return crash.second.at >= first && !isExplained(state, crash.second, part); }));
    const bool areEnough = countSeparate(state, crashes, m_options.crashSeparation) >= m_options.crashesToHold + meanwhile / m_options.crashesPerFurtherOne;
    const bool isServiceAnswering = state.answers - answersBefore >= m_options.answersToHold;
    const bool isOnlyUnanswered = lastAnswered(state, part) == time_point{} && state.answers >= m_options.answersToKnowService;
    const bool areNoAccidents = attempts.size() >= requestsNeeded(state, part, first, state.answers - answersBefore);
    const bool isMainSuspect =
        isOnlyUnanswered && attempts.size() >= m_options.requestsOfMainSuspect && crashes.size() * m_options.crashesPerCrashOfMainSuspect >= meanwhile;
    return areEnough && ((areNoAccidents && (isServiceAnswering || isOnlyUnanswered)) || isMainSuspect);
}

bool request_quarantine::hasLikelierCause(const service_state &state, const std::set<std::uint64_t> &crashes)
{
    return std::any_of(state.suspects.begin(), state.suspects.end(), [&](const auto &suspect) {
        const request_trait trait = suspect.first;
        const suspicions &implicating = suspect.second;
        return trait.kind == trait_kind::whole_request && implicating.size() >= crashes.size() && lastAnswered(state, trait) == time_point{}
        && std::all_of(crashes.begin(), crashes.end(), [&](std::uint64_t key) { return implicating.contains(key); });
    });
}

std::set<std::uint64_t> request_quarantine::crashesToHoldFor(const service_state &state, request_trait request) const
{
    const auto implicating = state.suspects.find(request);
    if (implicating == state.suspects.end() || implicating->second.size() < m_options.crashesToHold) {
        return {};
    }
    std::set<std::uint64_t> crashes;
    if (lastAnswered(state, request) == time_point{}) {
        // Such a request is hardly at several endpoints that one cause ends together. Crashes that another one explains count as well: of two deadly
        // requests that come together, each explains the crashes of the other.
        std::transform(
            implicating->second.begin(), implicating->second.end(), std::inserter(crashes, crashes.end()), [](const auto &each) { return each.first; });
        return crashes;
    }
    crashes = unexplainedCrashes(state, request);
    if (hasLikelierCause(state, crashes)) {
        return {};
    }
    const bool isUnlikelyByAccident = countSeparate(state, crashes, m_options.ownCrashSeparation) >= crashesNeeded(state, request, crashes);
    return isUnlikelyByAccident ? crashes : std::set<std::uint64_t>{};
}

} // namespace wisteriashunt

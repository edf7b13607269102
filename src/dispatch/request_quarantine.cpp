#include "dispatch/request_quarantine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisteriashunt
{

namespace
{

bool isSubset(const trait_set &parts, const trait_set &of)
{
    return std::includes(of.begin(), of.end(), parts.begin(), parts.end());
}

} // namespace

request_quarantine::request_quarantine(const request_quarantine_options &options)
    : m_options(options)
{
}

std::vector<const request_quarantine::held_state *> request_quarantine::heldWithin(const std::string &service, const trait_set &parts) const
{
    std::vector<const held_state *> found;
    const auto state = m_services.find(service);
    if (state == m_services.end()) {
        return found;
    }
    for (const auto &[combination, held] : state->second.held) {
        if (isSubset(combination, parts)) {
            found.push_back(&held);
        }
    }
    return found;
}

quarantine_verdict request_quarantine::check(const std::string &service, const trait_set &parts, time_point now) const
{
    const auto held = heldWithin(service, parts);
    if (held.empty()) {
        return quarantine_verdict::free;
    }
    const bool isDue = std::all_of(held.begin(), held.end(), [now](const held_state *each) { return now >= each->nextTrial; });
    return isDue ? quarantine_verdict::trial : quarantine_verdict::held;
}

duration request_quarantine::untilTrial(const std::string &service, const trait_set &parts, time_point now) const
{
    duration wait{};
    for (const auto *held : heldWithin(service, parts)) {
        wait = std::max(wait, held->nextTrial - now);
    }
    return wait;
}

void request_quarantine::onTrial(const std::string &service, const trait_set &parts, time_point now)
{
    for (auto &[combination, held] : m_services[service].held) {
        if (isSubset(combination, parts)) {
            held.isTrialRunning = true;
            held.nextTrial = now + m_options.trialTimeout;
            m_hasNews = true;
        }
    }
}

bool request_quarantine::mayRepeat(const std::string &service, const trait_set &parts) const
{
    const auto state = m_services.find(service);
    if (state == m_services.end() || state->second.suspects.empty()) {
        return true;
    }
    return std::none_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
        return countSeparate(state->second, unexplainedCrashes(state->second, part)) >= m_options.crashesToStopRepeats;
    });
}

bool request_quarantine::isExplained(const service_state &state, const known_crash &crash, std::uint64_t part)
{
    return std::any_of(state.held.begin(), state.held.end(), [&](const auto &held) {
        const auto &combination = held.first;
        return !combination.contains(part) && std::any_of(crash.suspects.begin(), crash.suspects.end(), [&combination](const suspect_request &request) {
            return isSubset(combination, request.parts);
        });
    });
}

std::set<std::uint64_t> request_quarantine::unexplainedCrashes(const service_state &state, std::uint64_t part)
{
    std::set<std::uint64_t> crashes;
    const auto suspects = state.suspects.find(part);
    if (suspects == state.suspects.end()) {
        return crashes;
    }
    for (const auto &[crashKey, attempts] : suspects->second) {
        if (!isExplained(state, state.crashes.at(crashKey), part)) {
            crashes.insert(crashKey);
        }
    }
    return crashes;
}

std::size_t request_quarantine::countSeparate(const service_state &state, const std::set<std::uint64_t> &crashes) const
{
    std::vector<time_point> times;
    for (const auto key : crashes) {
        times.push_back(state.crashes.at(key).at);
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    time_point lastCounted;
    for (const auto at : times) {
        if (count == 0 || at - lastCounted >= m_options.crashSeparation) {
            ++count;
            lastCounted = at;
        }
    }
    return count;
}

std::size_t request_quarantine::requestsNeeded(const service_state &state, std::uint64_t part, time_point since, std::uint64_t answersSince) const
{
    // Requests that broke beside one with the part say nothing about how often others break without it.
    std::size_t otherBroken = 0;
    for (const auto &[key, crash] : state.crashes) {
        const bool hasPart =
            std::any_of(crash.suspects.begin(), crash.suspects.end(), [part](const suspect_request &request) { return request.parts.contains(part); });
        otherBroken += crash.at >= since && !hasPart && !isExplained(state, crash, part) ? crash.ownSuspects.size() : 0;
    }
    // Rule of succession: the share of broken requests, starting from one broken and one answered.
    const double brokenShare = static_cast<double>(otherBroken + 1) / static_cast<double>(otherBroken + answersSince + 2);
    const double needed = std::log(m_options.accidentProbability) / std::log(brokenShare);
    return std::max(m_options.requestsToHold, static_cast<std::size_t>(std::ceil(needed)));
}

bool request_quarantine::isLikelyCause(const service_state &state, std::uint64_t part, const std::set<std::uint64_t> &crashes) const
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
    const bool areEnough = countSeparate(state, crashes) >= m_options.crashesToHold + meanwhile / m_options.crashesPerFurtherOne;
    const bool isServiceAnswering = state.answers - answersBefore >= m_options.answersToHold;
    const bool isOnlyUnanswered = lastAnswered(state.answered, part) == time_point{} && state.answers >= m_options.answersToKnowService;
    const bool areNoAccidents = attempts.size() >= requestsNeeded(state, part, first, state.answers - answersBefore);
    const bool isMainSuspect =
        isOnlyUnanswered && attempts.size() >= m_options.requestsOfMainSuspect && crashes.size() * m_options.crashesPerCrashOfMainSuspect >= meanwhile;
    return areEnough && ((areNoAccidents && (isServiceAnswering || isOnlyUnanswered)) || isMainSuspect);
}

request_quarantine::known_crash &request_quarantine::addCrash(service_state &state, const crash_report &crash, time_point now)
{
    const auto at = now - crash.age;
    const auto [position, isNew] = state.crashes.try_emplace(crash.endpoint);
    auto &known = position->second;
    if (isNew) {
        known = {.at = at, .answersBefore = state.answers};
    }
    known.at = std::min(known.at, at);
    for (const auto &request : crash.suspects) {
        if (known.suspects.size() >= m_options.maxSuspectRequests) {
            break;
        }
        known.suspects.push_back(request);
        for (const auto part : request.parts) {
            if (lastAnswered(state.answered, part) <= at) {
                state.suspects[part][crash.endpoint].insert(request.attempt);
            }
        }
    }
    return known;
}

void request_quarantine::onCrash(const crash_report &crash, time_point now)
{
    auto &state = m_services[crash.service];
    forgetOutdated(crash.service, state, now);
    auto &known = addCrash(state, crash, now);
    known.ownSuspects.insert(known.ownSuspects.end(), crash.suspects.begin(), crash.suspects.end());
    known.repetitions = m_options.repetitions;
    m_hasNews = true;
    noteCrashUnderHeld(state, crash.endpoint, now);
    holdLikelyCauses(crash.service, state, known, now);
}

void request_quarantine::noteCrashUnderHeld(service_state &state, std::uint64_t crashKey, time_point now)
{
    const auto &requests = state.crashes.at(crashKey).suspects;
    for (auto &[combination, held] : state.held) {
        const auto &parts = combination;
        const bool isUnder = std::any_of(requests.begin(), requests.end(), [&parts](const suspect_request &request) { return isSubset(parts, request.parts); });
        const bool isLater = state.crashes.at(crashKey).at > held.heldAt;
        if (!isUnder || !isLater || !held.crashes.insert(crashKey).second) {
            continue;
        }
        ++held.crashCount;
        held.failedTrials += std::exchange(held.isTrialRunning, false) ? 1 : 0;
        duration pause = m_options.trialPause;
        for (int i = 0; i < held.failedTrials && pause < m_options.maxTrialPause; ++i) {
            pause *= m_options.trialBackoff;
        }
        held.nextTrial = std::max(held.nextTrial, now + std::min(pause, m_options.maxTrialPause));
        m_hasNews = true;
    }
}

void request_quarantine::holdLikelyCauses(const std::string &service, service_state &state, const known_crash &crash, time_point now)
{
    trait_set parts;
    for (const auto &request : crash.suspects) {
        parts.insert(request.parts.begin(), request.parts.end());
    }
    while (true) {
        // The largest set of crashes goes first: once its parts are held, they explain crashes that implicate others as well.
        std::set<std::uint64_t> mostCrashes;
        trait_set likelyCauses;
        for (const auto part : parts) {
            const auto suspects = state.suspects.find(part);
            if (suspects == state.suspects.end() || suspects->second.size() < m_options.crashesToHold) {
                continue;
            }
            const auto crashes = unexplainedCrashes(state, part);
            if (state.held.contains({part}) || !isLikelyCause(state, part, crashes) || crashes.size() < mostCrashes.size()) {
                continue;
            }
            if (crashes != mostCrashes) {
                likelyCauses.clear();
                mostCrashes = crashes;
            }
            likelyCauses.insert(part);
        }
        if (likelyCauses.empty() || state.held.contains(likelyCauses)) {
            return;
        }
        const held_state held{
            .crashes = mostCrashes, .crashCount = static_cast<int>(mostCrashes.size()), .heldAt = now, .nextTrial = now + m_options.firstTrialAfter};
        hold(service, state, likelyCauses, held, "crashes", now);
    }
}

void request_quarantine::hold(
    const std::string &service, service_state &state, const trait_set &parts, held_state held, std::string_view reason, time_point now)
{
    releaseSupersets(service, state, parts, now);
    if (state.held.size() >= m_options.maxHeld) {
        const auto oldest = std::min_element(
            state.held.begin(), state.held.end(), [](const auto &left, const auto &right) { return left.second.heldAt < right.second.heldAt; });
        noteChange(service, oldest->first, oldest->second, false, "expired", now);
        state.held.erase(oldest);
    }
    noteChange(service, parts, held, true, reason, now);
    state.held.emplace(parts, std::move(held));
    m_hasNews = true;
}

void request_quarantine::releaseSupersets(const std::string &service, service_state &state, const trait_set &parts, time_point now)
{
    for (auto held = state.held.begin(); held != state.held.end();) {
        if (held->first != parts && isSubset(parts, held->first)) {
            noteChange(service, held->first, held->second, false, "told_apart", now);
            held = state.held.erase(held);
        } else {
            ++held;
        }
    }
}

void request_quarantine::onAnswered(const std::string &service, const trait_set &parts, time_point now)
{
    auto &state = m_services[service];
    ++state.answers;
    for (const auto part : parts) {
        rememberAnswer(state.answered, part, now);
        const bool isSuspected =
            state.suspects.contains(part) || std::any_of(state.held.begin(), state.held.end(), [part](const auto &held) { return held.first.contains(part); });
        if (isSuspected) {
            clear(service, state, part, now, "answered", now);
            tellClearance(state, part, now);
        }
    }
}

void request_quarantine::clear(const std::string &service, service_state &state, std::uint64_t part, time_point at, std::string_view reason, time_point now)
{
    if (const auto suspects = state.suspects.find(part); suspects != state.suspects.end()) {
        std::erase_if(suspects->second, [&](const auto &suspicion) { return state.crashes.at(suspicion.first).at <= at; });
        if (suspects->second.empty()) {
            state.suspects.erase(suspects);
        }
    }
    std::vector<trait_set> combinations;
    for (const auto &[combination, held] : state.held) {
        if (combination.contains(part) && held.heldAt <= at) {
            combinations.push_back(combination);
        }
    }
    for (const auto &combination : combinations) {
        auto released = state.held.extract(combination);
        noteChange(service, combination, released.mapped(), false, reason, now);
        trait_set rest = combination;
        rest.erase(part);
        if (!rest.empty() && !state.held.contains(rest)) {
            hold(service, state, rest, released.mapped(), "told_apart", now);
        }
    }
}

void request_quarantine::tellClearance(service_state &state, std::uint64_t part, time_point at)
{
    state.clearances[part] = {.at = at, .repetitions = m_options.repetitions};
    m_hasNews = true;
}

void request_quarantine::rememberAnswer(answer_memory &memory, std::uint64_t part, time_point now) const
{
    if (memory.recent.size() >= m_options.maxRememberedAnswers / 2) {
        memory.older = std::exchange(memory.recent, {});
    }
    auto &last = memory.recent[part];
    last = std::max(last, now);
}

time_point request_quarantine::lastAnswered(const answer_memory &memory, std::uint64_t part)
{
    time_point last;
    for (const auto *answers : {&memory.recent, &memory.older}) {
        if (const auto found = answers->find(part); found != answers->end()) {
            last = std::max(last, found->second);
        }
    }
    return last;
}

void request_quarantine::forgetCrash(service_state &state, std::uint64_t crashKey)
{
    for (const auto &request : state.crashes.at(crashKey).suspects) {
        for (const auto part : request.parts) {
            const auto suspects = state.suspects.find(part);
            if (suspects != state.suspects.end() && suspects->second.erase(crashKey) > 0 && suspects->second.empty()) {
                state.suspects.erase(suspects);
            }
        }
    }
    state.crashes.erase(crashKey);
}

void request_quarantine::forgetOutdated(const std::string &service, service_state &state, time_point now)
{
    const auto isOlder = [](const auto &left, const auto &right) { return left.second.at < right.second.at; };
    while (!state.crashes.empty()) {
        const auto oldest = std::min_element(state.crashes.begin(), state.crashes.end(), isOlder);
        if (state.crashes.size() < m_options.maxCrashes && now - oldest->second.at <= m_options.memory) {
            break;
        }
        forgetCrash(state, oldest->first);
    }
    for (auto held = state.held.begin(); held != state.held.end();) {
        if (now - held->second.nextTrial > m_options.maxTrialPause) {
            noteChange(service, held->first, held->second, false, "expired", now);
            held = state.held.erase(held);
        } else {
            ++held;
        }
    }
}

bool request_quarantine::hasNews() const
{
    return m_hasNews;
}

quarantine_digest request_quarantine::digest(time_point now)
{
    quarantine_digest result;
    const bool tellsHeld = m_hasNews || now - m_heldToldAt >= m_options.heldPeriod;
    for (auto &[service, state] : m_services) {
        if (tellsHeld) {
            forgetOutdated(service, state, now);
        }
        for (auto &[key, crash] : state.crashes) {
            if (crash.repetitions > 0 && result.crashes.size() < m_options.maxCrashesInDigest) {
                result.crashes.push_back({.service = service, .endpoint = key, .age = now - crash.at, .suspects = crash.ownSuspects});
                --crash.repetitions;
            }
        }
        for (auto &[part, told] : state.clearances) {
            result.clearances.push_back({.service = service, .part = part, .age = now - told.at});
            --told.repetitions;
        }
        std::erase_if(state.clearances, [](const auto &told) { return told.second.repetitions <= 0; });
        for (const auto &[combination, held] : state.held) {
            if (tellsHeld) {
                result.held.push_back({.service = service,
                                       .parts = combination,
                                       .crashes = held.crashCount,
                                       .age = now - held.heldAt,
                                       .untilTrial = std::max<duration>(held.nextTrial - now, {})});
            }
        }
    }
    m_heldToldAt = tellsHeld ? now : m_heldToldAt;
    m_hasNews = false;
    return result;
}

void request_quarantine::onPeerDigest(const quarantine_digest &digest, time_point now)
{
    // Clearances come first, so that the crashes of the same digest do not hold what its sender has cleared since.
    for (const auto &told : digest.clearances) {
        auto &state = m_services[told.service];
        rememberAnswer(state.answered, told.part, now - told.age);
        clear(told.service, state, told.part, now - told.age, "peer_answered", now);
    }
    for (const auto &held : digest.held) {
        adopt(held, now);
    }
    for (const auto &crash : digest.crashes) {
        if (crash.age > m_options.memory) {
            continue;
        }
        auto &state = m_services[crash.service];
        forgetOutdated(crash.service, state, now);
        // The same report comes several times.
        auto unknown = crash;
        if (const auto known = state.crashes.find(crash.endpoint); known != state.crashes.end()) {
            std::erase_if(unknown.suspects, [&](const suspect_request &request) {
                const auto &suspects = known->second.suspects;
                return std::find(suspects.begin(), suspects.end(), request) != suspects.end();
            });
        }
        const auto &known = addCrash(state, unknown, now);
        noteCrashUnderHeld(state, crash.endpoint, now);
        holdLikelyCauses(crash.service, state, known, now);
    }
}

void request_quarantine::adopt(const held_traits &told, time_point now)
{
    auto &state = m_services[told.service];
    const auto heldAt = now - told.age;
    trait_set parts = told.parts;
    for (const auto part : told.parts) {
        const auto answeredAt = lastAnswered(state.answered, part);
        if (answeredAt > heldAt) {
            parts.erase(part);
            tellClearance(state, part, answeredAt);
        }
    }
    if (parts.empty()) {
        return;
    }
    if (const auto known = state.held.find(parts); known != state.held.end()) {
        known->second.crashCount = std::max(known->second.crashCount, told.crashes);
        known->second.nextTrial = std::max(known->second.nextTrial, now + told.untilTrial);
        return;
    }
    const bool isToldApart = std::any_of(state.held.begin(), state.held.end(), [&parts](const auto &held) { return isSubset(held.first, parts); });
    if (!isToldApart) {
        const bool hadNews = m_hasNews;
        hold(told.service, state, parts, {.crashCount = told.crashes, .heldAt = heldAt, .nextTrial = now + told.untilTrial}, "peer", now);
        m_hasNews = hadNews;
    }
}

void request_quarantine::noteChange(
    const std::string &service, const trait_set &parts, const held_state &held, bool isHeld, std::string_view reason, time_point now)
{
    m_changes.push_back({.held = {.service = service,
                                  .parts = parts,
                                  .crashes = held.crashCount,
                                  .age = now - held.heldAt,
                                  .untilTrial = std::max<duration>(held.nextTrial - now, {})},
                         .isHeld = isHeld,
                         .reason = std::string(reason)});
}

std::vector<held_change> request_quarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::size_t request_quarantine::heldCombinations() const
{
    std::size_t count = 0;
    for (const auto &[service, state] : m_services) {
        count += state.held.size();
    }
    return count;
}

} // namespace wisteriashunt

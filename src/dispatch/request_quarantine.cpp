#include "dispatch/request_quarantine.h"

#include "membership/hash.h"

#include <algorithm>
#include <utility>

namespace wisteriashunt
{

namespace
{

trait_set traitsOf(const std::vector<suspect_request> &requests)
{
    trait_set traits;
    for (const auto &request : requests) {
        traits.insert(request.traits.begin(), request.traits.end());
    }
    return traits;
}

} // namespace

request_quarantine::request_quarantine(const request_quarantine_options &options)
    : m_options(options)
{
}

std::vector<std::pair<const trait_set *, const request_quarantine::held_state *>> request_quarantine::heldWithin(const std::string &service,
                                                                                                                 const trait_set &traits) const
{
    std::vector<std::pair<const trait_set *, const held_state *>> found;
    const auto state = m_services.find(service);
    if (state == m_services.end()) {
        return found;
    }
    for (const auto &[combination, held] : state->second.held) {
        if (isSubset(combination, traits)) {
            found.emplace_back(&combination, &held);
        }
    }
    return found;
}

time_point request_quarantine::trialTime(const trait_set &combination, const held_state &held) const
{
    if (kindOf(combination) == trait_kind::prompt_part) {
        return held.nextTrial;
    }
    constexpr std::uint64_t steps = 64;
    const auto turn = mixBits(m_options.entryKey ^ combination.begin()->id) % steps;
    const auto spread = std::max(m_options.minTrialSpread, m_options.trialSpreadPerEntry * static_cast<std::int64_t>(m_entries));
    return held.nextTrial + spread * static_cast<std::int64_t>(turn) / static_cast<std::int64_t>(steps);
}

void request_quarantine::noteEntries(std::size_t entries)
{
    m_entries = std::max<std::size_t>(1, entries);
}

quarantine_verdict request_quarantine::check(const std::string &service, const trait_set &traits, time_point now) const
{
    const auto held = heldWithin(service, traits);
    if (held.empty()) {
        return quarantine_verdict::free;
    }
    const bool isDue = std::all_of(held.begin(), held.end(), [&](const auto &each) { return now >= trialTime(*each.first, *each.second); });
    return isDue ? quarantine_verdict::trial : quarantine_verdict::held;
}

duration request_quarantine::untilTrial(const std::string &service, const trait_set &traits, time_point now) const
{
    duration wait{};
    for (const auto &[combination, held] : heldWithin(service, traits)) {
        wait = std::max(wait, trialTime(*combination, *held) - now);
    }
    return wait;
}

bool request_quarantine::isWholeRequestHeld(const std::string &service, const trait_set &traits) const
{
    const auto held = heldWithin(service, traits);
    return std::any_of(held.begin(), held.end(), [](const auto &each) { return kindOf(*each.first) == trait_kind::whole_request; });
}

void request_quarantine::onTrial(const std::string &service, const trait_set &traits, time_point now)
{
    for (auto &[combination, held] : m_services[service].held) {
        if (isSubset(combination, traits)) {
            held.isTrialRunning = true;
            held.nextTrial = now + m_options.trialTimeout;
            m_hasNews = true;
        }
    }
}

bool request_quarantine::mayRepeat(const std::string &service, const trait_set &traits) const
{
    const auto state = m_services.find(service);
    if (state == m_services.end() || state->second.suspects.empty()) {
        return true;
    }
    return std::none_of(traits.begin(), traits.end(), [&](request_trait trait) {
        const auto crashes = unexplainedCrashes(state->second, trait);
        return trait.kind == trait_kind::whole_request ? crashes.size() >= m_options.ownCrashesToStopRepeats
                                                       : countSeparate(state->second, crashes, m_options.crashSeparation) >= m_options.crashesToStopRepeats;
    });
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
        for (const auto trait : request.traits) {
            if (lastAnswered(state, trait) <= at) {
                state.suspects[trait][crash.endpoint].insert(request.attempt);
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
    const auto &crash = state.crashes.at(crashKey);
    for (auto &[combination, held] : state.held) {
        const auto &traits = combination;
        const bool isUnder =
            std::any_of(crash.suspects.begin(), crash.suspects.end(), [&traits](const suspect_request &request) { return isSubset(traits, request.traits); });
        if (!isUnder || crash.at <= held.heldAt || held.crashes.contains(crashKey)) {
            continue;
        }
        const bool isWholeRequest = kindOf(traits) == trait_kind::whole_request;
        if (isWholeRequest && !held.isTrialRunning && isExplained(state, crash, *traits.begin())) {
            continue;
        }
        held.crashes.insert(crashKey);
        ++held.crashCount;
        const bool isOfTrialElsewhere = isWholeRequest && crash.at - held.heldAt > m_options.underWayTime;
        held.failedTrials += std::exchange(held.isTrialRunning, false) || isOfTrialElsewhere ? 1 : 0;
        held.nextTrial = std::max(held.nextTrial, now + pauseAfterCrash(state, traits, held));
        m_hasNews = true;
    }
}

duration request_quarantine::pauseAfterCrash(const service_state &state, const trait_set &combination, const held_state &held) const
{
    if (held.failedTrials >= m_options.maxTrials) {
        return m_options.longestHold;
    }
    const bool isDoubtful = kindOf(combination) == trait_kind::whole_request && held.failedTrials < m_options.doubtfulTrials
        && held.crashes.size() < crashesNeeded(state, *combination.begin(), held.crashes);
    if (isDoubtful) {
        return m_options.doubtfulTrialAfter;
    }
    duration pause = m_options.trialPause;
    for (int i = 0; i < held.failedTrials && pause < m_options.maxTrialPause; ++i) {
        pause *= m_options.trialBackoff;
    }
    return std::min(pause, m_options.maxTrialPause);
}

void request_quarantine::holdLikelyCauses(const std::string &service, service_state &state, const known_crash &crash, time_point now)
{
    const auto suspects = traitsOf(crash.suspects);
    holdLikelyParts(service, state, suspects, now);
    holdLikelyRequests(service, state, suspects, now);
}

void request_quarantine::holdLikelyRequests(const std::string &service, service_state &state, const trait_set &suspects, time_point now)
{
    // All candidates are chosen before the first is held, which would explain the crashes of the others.
    std::vector<std::pair<request_trait, std::set<std::uint64_t>>> likely;
    for (const auto trait : suspects) {
        if (trait.kind != trait_kind::whole_request || state.held.contains({trait})) {
            continue;
        }
        if (auto crashes = crashesToHoldFor(state, trait); !crashes.empty()) {
            likely.emplace_back(trait, std::move(crashes));
        }
    }
    for (auto &[trait, crashes] : likely) {
        const bool isDoubtful = unexplainedCrashes(state, trait).size() < crashesNeeded(state, trait, crashes);
        const auto trialAfter = isDoubtful ? m_options.doubtfulTrialAfter : m_options.firstTrialAfter;
        const auto count = static_cast<int>(crashes.size());
        hold(service, state, {trait}, {.crashes = std::move(crashes), .crashCount = count, .heldAt = now, .nextTrial = now + trialAfter}, "crashes", now);
    }
}

void request_quarantine::holdLikelyParts(const std::string &service, service_state &state, const trait_set &suspects, time_point now)
{
    while (true) {
        // The largest set of crashes goes first: once its parts are held, they explain crashes that implicate others as well.
        std::set<std::uint64_t> mostCrashes;
        trait_set likelyCauses;
        for (const auto part : suspects) {
            const auto implicating = state.suspects.find(part);
            const bool isSuspected =
                part.kind == trait_kind::prompt_part && implicating != state.suspects.end() && implicating->second.size() >= m_options.crashesToHold;
            if (!isSuspected) {
                continue;
            }
            const auto crashes = unexplainedCrashes(state, part);
            if (state.held.contains({part}) || !isLikelyPart(state, part, crashes) || crashes.size() < mostCrashes.size()) {
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
    const std::string &service, service_state &state, const trait_set &traits, held_state held, std::string_view reason, time_point now)
{
    releaseSupersets(service, state, traits, now);
    if (state.held.size() >= m_options.maxHeld) {
        const auto oldest = std::min_element(
            state.held.begin(), state.held.end(), [](const auto &left, const auto &right) { return left.second.heldAt < right.second.heldAt; });
        noteChange(service, oldest->first, oldest->second, false, "expired", now);
        state.held.erase(oldest);
    }
    noteChange(service, traits, held, true, reason, now);
    state.held.emplace(traits, std::move(held));
    m_hasNews = true;
}

void request_quarantine::releaseSupersets(const std::string &service, service_state &state, const trait_set &traits, time_point now)
{
    for (auto held = state.held.begin(); held != state.held.end();) {
        if (held->first != traits && isSubset(traits, held->first)) {
            noteChange(service, held->first, held->second, false, "told_apart", now);
            held = state.held.erase(held);
        } else {
            ++held;
        }
    }
}

void request_quarantine::onAnswered(const std::string &service, const trait_set &traits, time_point now)
{
    auto &state = m_services[service];
    ++state.answers;
    for (const auto trait : traits) {
        rememberAnswer(state, trait, now);
        const bool isSuspected = state.suspects.contains(trait)
            || std::any_of(state.held.begin(), state.held.end(), [trait](const auto &held) { return held.first.contains(trait); });
        if (isSuspected) {
            clear(service, state, trait, now, "answered", now);
            tellClearance(state, trait, now);
        }
    }
}

bool request_quarantine::freeByOperator(request_trait trait, time_point now)
{
    bool wasHeld = false;
    for (auto &[service, state] : m_services) {
        const bool isHeldHere = std::any_of(state.held.begin(), state.held.end(), [trait](const auto &held) { return held.first.contains(trait); });
        if (isHeldHere) {
            wasHeld = true;
            // Keeps a peer that has not been told yet from holding it here again.
            rememberAnswer(state, trait, now);
            clear(service, state, trait, now, "operator", now);
            tellClearance(state, trait, now);
        }
    }
    return wasHeld;
}

void request_quarantine::clear(const std::string &service, service_state &state, request_trait trait, time_point at, std::string_view reason, time_point now)
{
    if (const auto suspects = state.suspects.find(trait); suspects != state.suspects.end()) {
        std::erase_if(suspects->second, [&](const auto &suspicion) { return state.crashes.at(suspicion.first).at <= at; });
        if (suspects->second.empty()) {
            state.suspects.erase(suspects);
        }
    }
    std::vector<trait_set> combinations;
    for (const auto &[combination, held] : state.held) {
        if (combination.contains(trait) && held.heldAt <= at) {
            combinations.push_back(combination);
        }
    }
    for (const auto &combination : combinations) {
        auto released = state.held.extract(combination);
        noteChange(service, combination, released.mapped(), false, reason, now);
        trait_set rest = combination;
        rest.erase(trait);
        if (!rest.empty() && !state.held.contains(rest)) {
            hold(service, state, rest, released.mapped(), "told_apart", now);
        }
    }
}

void request_quarantine::tellClearance(service_state &state, request_trait trait, time_point at)
{
    state.clearances[trait] = {.at = at, .repetitions = m_options.repetitions};
    m_hasNews = true;
}

void request_quarantine::rememberAnswer(service_state &state, request_trait trait, time_point now) const
{
    auto &memory = state.answered.at(static_cast<std::size_t>(trait.kind));
    const auto most = trait.kind == trait_kind::prompt_part ? m_options.maxRememberedAnswers : m_options.maxRememberedRequests;
    if (memory.recent.size() >= most / 2) {
        memory.older = std::exchange(memory.recent, {});
    }
    auto &last = memory.recent[trait.id];
    last = std::max(last, now);
}

time_point request_quarantine::lastAnswered(const service_state &state, request_trait trait)
{
    const auto &memory = state.answered.at(static_cast<std::size_t>(trait.kind));
    time_point last;
    for (const auto *answers : {&memory.recent, &memory.older}) {
        if (const auto found = answers->find(trait.id); found != answers->end()) {
            last = std::max(last, found->second);
        }
    }
    return last;
}

void request_quarantine::forgetCrash(service_state &state, std::uint64_t crashKey)
{
    for (const auto &request : state.crashes.at(crashKey).suspects) {
        for (const auto trait : request.traits) {
            const auto suspects = state.suspects.find(trait);
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
        for (auto &[trait, told] : state.clearances) {
            result.clearances.push_back({.service = service, .trait = trait, .age = now - told.at});
            --told.repetitions;
        }
        std::erase_if(state.clearances, [](const auto &told) { return told.second.repetitions <= 0; });
        for (const auto &[combination, held] : state.held) {
            if (tellsHeld) {
                result.held.push_back(describe(service, combination, held, now));
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
        onPeerAnswered(told, now);
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

void request_quarantine::onPeerAnswered(const clearance &told, time_point now)
{
    auto &state = m_services[told.service];
    const auto answeredAt = now - told.age;
    rememberAnswer(state, told.trait, answeredAt);
    clear(told.service, state, told.trait, answeredAt, "peer_answered", now);
    const auto held = told.trait.kind == trait_kind::whole_request ? state.held.find({told.trait}) : state.held.end();
    if (held != state.held.end() && crashesToHoldFor(state, told.trait).empty()) {
        noteChange(told.service, held->first, held->second, false, "peer_answered", now);
        state.held.erase(held);
    }
}

void request_quarantine::adopt(const held_traits &told, time_point now)
{
    auto &state = m_services[told.service];
    const auto heldAt = now - told.age;
    trait_set traits = told.traits;
    for (const auto trait : told.traits) {
        const auto answeredAt = lastAnswered(state, trait);
        // Its peer may have held a request because it knew of no answer.
        const bool isHeldInError = trait.kind == trait_kind::whole_request && answeredAt != time_point{} && crashesToHoldFor(state, trait).empty();
        if (answeredAt > heldAt || isHeldInError) {
            traits.erase(trait);
            tellClearance(state, trait, answeredAt);
        }
    }
    if (traits.empty()) {
        return;
    }
    if (const auto known = state.held.find(traits); known != state.held.end()) {
        known->second.crashCount = std::max(known->second.crashCount, told.crashes);
        // Zero means that the trial is due at the peer, which must not postpone that of this entry.
        if (told.untilTrial > duration{}) {
            known->second.nextTrial = std::max(known->second.nextTrial, now + told.untilTrial);
        }
        return;
    }
    const bool isToldApart = std::any_of(state.held.begin(), state.held.end(), [&traits](const auto &held) { return isSubset(held.first, traits); });
    if (!isToldApart) {
        const bool hadNews = m_hasNews;
        hold(told.service, state, traits, {.crashCount = told.crashes, .heldAt = heldAt, .nextTrial = now + told.untilTrial}, "peer", now);
        m_hasNews = hadNews;
    }
}

void request_quarantine::noteChange(
    const std::string &service, const trait_set &traits, const held_state &held, bool isHeld, std::string_view reason, time_point now)
{
    m_changes.push_back({.held = describe(service, traits, held, now), .isHeld = isHeld, .reason = std::string(reason)});
}

std::vector<held_change> request_quarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

held_traits request_quarantine::describe(const std::string &service, const trait_set &traits, const held_state &held, time_point now)
{
    return {
        .service = service, .traits = traits, .crashes = held.crashCount, .age = now - held.heldAt, .untilTrial = std::max<duration>(held.nextTrial - now, {})};
}

std::vector<held_traits> request_quarantine::held(time_point now) const
{
    std::vector<held_traits> all;
    for (const auto &[service, state] : m_services) {
        for (const auto &[combination, held] : state.held) {
            all.push_back(describe(service, combination, held, now));
        }
    }
    return all;
}

std::size_t request_quarantine::heldCombinations() const
{
    std::size_t count = 0;
    for (const auto &[service, state] : m_services) {
        count += state.held.size();
    }
    return count;
}

std::size_t request_quarantine::heldCombinations(trait_kind kind) const
{
    std::size_t count = 0;
    for (const auto &[service, state] : m_services) {
        count += static_cast<std::size_t>(std::count_if(state.held.begin(), state.held.end(), [kind](const auto &held) { return kindOf(held.first) == kind; }));
    }
    return count;
}

} // namespace wisteriashunt

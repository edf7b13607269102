/// Learns which traits of requests crash endpoints, and holds requests with them.
///
/// One of the requests that an endpoint had not begun to answer when it crashed may be the cause. Each crash implicates all traits of these
/// requests; a request that is answered clears its traits. Entries tell each other of crashes, clearances and held traits.
///
/// Parts of prompts: one that is only popular is answered elsewhere between two crashes, so a part that is still suspected after several crashes at
/// different times, while other requests of the service are answered, is held. Parts that the same crashes implicate cannot be told apart: only
/// requests with all of them are held.
///
/// Whole requests: one that was never answered is held after three crashes, whatever else is answered. A service of few endpoints, all of which one
/// request crashes as soon as they are back, answers nothing to compare with. One that was answered before repeats often, and is held only if so many
/// separate crashes in a row are unlikely by accident. The first trials come soon while the crashes may still be an accident.
#pragma once

#include "dispatch/request_traits.h"
#include "wisteriashunt/time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisteriashunt
{

/// A request that an endpoint had not begun to answer when it crashed.
struct suspect_request
{
    /// Hash of the ID of the caller's attempt.
    std::uint64_t attempt = 0;
    trait_set traits;

    auto operator<=>(const suspect_request &) const = default;
};

/// A crash of one incarnation of an endpoint, as one entry saw it.
struct crash_report
{
    std::string service;
    /// Hash of the endpoint's ID and start.
    std::uint64_t endpoint = 0;
    duration age{};
    std::vector<suspect_request> suspects;

    bool operator==(const crash_report &) const = default;
};

/// A trait with which a request was answered although crashes implicated it.
struct clearance
{
    std::string service;
    request_trait trait;
    duration age{};

    bool operator==(const clearance &) const = default;
};

/// A held combination of traits of one kind. Requests with all of them are refused, except for one trial at a time.
struct held_traits
{
    std::string service;
    trait_set traits;
    /// Crashes under requests with the traits.
    int crashes = 0;
    /// Time since they were held.
    duration age{};
    duration untilTrial{};

    bool operator==(const held_traits &) const = default;
};

/// Part of a message between entries that concerns requests that crash endpoints.
struct quarantine_digest
{
    std::vector<crash_report> crashes;
    std::vector<clearance> clearances;
    std::vector<held_traits> held;

    bool operator==(const quarantine_digest &) const = default;
};

/// Settings of a request_quarantine.
struct request_quarantine_options
{
    /// Crashes within this time of each other count as one: endpoints that fail together have a common cause of another kind.
    duration crashSeparation = std::chrono::milliseconds(100);
    /// Separate crashes after which a suspected part is held, if no others come meanwhile.
    std::size_t crashesToHold = 3;
    /// One more crash has to implicate the part for each of so many crashes of the service meanwhile: among many crashes, some implicate a part by
    /// accident.
    std::size_t crashesPerFurtherOne = 12;
    /// Different requests with the part that must have been there, at least. Where other requests break as well, as many are needed as make
    /// it this unlikely that all of them broke by accident.
    std::size_t requestsToHold = 2;
    double accidentProbability = 1e-4;
    /// Requests of the service that must have been answered here since the first of these crashes. A service that answers nothing does not fail
    /// because of one part, unless that part was never answered and others were.
    std::uint64_t answersToHold = 5;
    /// A part that was never answered is also held if so many requests implicate it and it was there in one of so many crashes. While endpoints crash
    /// faster than they come back, most requests break by accident.
    std::size_t requestsOfMainSuspect = 6;
    std::size_t crashesPerCrashOfMainSuspect = 3;
    /// Requests of the service that must ever have been answered here for a part to count as never answered.
    std::uint64_t answersToKnowService = 20;
    /// Separate crashes after which a request with a suspected part is not sent a second time.
    std::size_t crashesToStopRepeats = 2;
    /// Crashes under a request after which that request is not sent a second time.
    std::size_t ownCrashesToStopRepeats = 1;
    /// Crashes under one request within this time of each other count as one if it was answered before.
    duration ownCrashSeparation = std::chrono::milliseconds(30);
    /// What is assumed of the other requests of the service before any is known: so many were sent, and so many of them broke.
    double priorRequests = 10;
    double priorBroken = 0.1;
    /// Other requests that broke count from this long before the first crash under a request.
    duration accidentWindow = std::chrono::seconds(10);
    /// Time for which crashes are remembered.
    duration memory = std::chrono::minutes(5);
    /// Time from the hold to the first trial, unless endpoints crash under the traits meanwhile.
    duration firstTrialAfter = std::chrono::seconds(2);
    /// Time from a crash under held traits to the next trial. Grows by trialBackoff with each trial that fails, up to maxTrialPause.
    duration trialPause = std::chrono::seconds(60);
    int trialBackoff = 4;
    /// Time to each trial of a request whose crashes may be an accident, until doubtfulTrials have failed.
    duration doubtfulTrialAfter = std::chrono::milliseconds(500);
    int doubtfulTrials = 2;
    /// Trials after which there are no more for longestHold. Each may crash an endpoint.
    int maxTrials = 3;
    duration longestHold = std::chrono::hours(24);
    /// A crash later than this after the hold counts as a failed trial, whichever entry sent it; earlier ones are of requests already sent.
    duration underWayTime = std::chrono::milliseconds(500);
    /// Entries try a whole request at different times within this time multiplied by their number, at least minTrialSpread, so that the first tells the
    /// others before they try. In large fleets, messages are further apart.
    duration trialSpreadPerEntry = std::chrono::milliseconds(200);
    duration minTrialSpread = std::chrono::seconds(1);
    /// Differs from entry to entry.
    std::uint64_t entryKey = 0;
    /// Held traits that nobody has asked for during this time after their trial was due are forgotten.
    duration maxTrialPause = std::chrono::hours(1);
    /// Time after which a trial without result makes way for the next one.
    duration trialTimeout = std::chrono::seconds(5);
    /// Digests that carry each crash and clearance, in case one is lost.
    int repetitions = 3;
    /// Time between two digests that carry the held traits while nothing changes.
    duration heldPeriod = std::chrono::milliseconds(500);
    std::size_t maxCrashes = 128;
    std::size_t maxCrashesInDigest = 8;
    std::size_t maxSuspectRequests = 64;
    std::size_t maxHeld = 64;
    std::size_t maxRememberedAnswers = 16384;
    std::size_t maxRememberedRequests = 4096;
};

/// What may be done with a request.
enum class quarantine_verdict {
    free,
    /// The request is the trial of held traits; see request_quarantine::onTrial().
    trial,
    held,
};

/// A change of the held traits.
struct held_change
{
    held_traits held;
    bool isHeld = false;
    /// "crashes" or "peer" if they are held now; "answered", "peer_answered", "operator", "told_apart" or "expired" if they no longer are.
    std::string reason;
};

/// Not thread-safe.
class request_quarantine
{
public:
    explicit request_quarantine(const request_quarantine_options &options = {});

    /// Records the number of entries that live, this one included.
    void noteEntries(std::size_t entries);

    /// Decides about a request with these traits.
    [[nodiscard]] quarantine_verdict check(const std::string &service, const trait_set &traits, time_point now) const;
    /// Returns the time until a request with these traits may be tried; zero if they are not held.
    [[nodiscard]] duration untilTrial(const std::string &service, const trait_set &traits, time_point now) const;
    /// Returns whether the whole request is held, rather than parts of its prompt.
    [[nodiscard]] bool isWholeRequestHeld(const std::string &service, const trait_set &traits) const;
    /// Records that a request for which check() returned trial is sent.
    void onTrial(const std::string &service, const trait_set &traits, time_point now);
    /// Returns whether a request with these traits may be sent again after its endpoint failed before answering.
    [[nodiscard]] bool mayRepeat(const std::string &service, const trait_set &traits) const;

    /// Records a crash that this entry saw.
    void onCrash(const crash_report &crash, time_point now);
    /// Records that a request with these traits was answered, or has been for so long that it does not crash its endpoint.
    void onAnswered(const std::string &service, const trait_set &traits, time_point now);
    /// Frees the trait in all services, here and at the peers that are told. Returns whether it was held.
    bool freeByOperator(request_trait trait, time_point now);

    /// Returns whether the next digest tells peers of something new.
    [[nodiscard]] bool hasNews() const;
    [[nodiscard]] quarantine_digest digest(time_point now);
    void onPeerDigest(const quarantine_digest &digest, time_point now);

    /// Returns the changes since the last call.
    [[nodiscard]] std::vector<held_change> takeChanges();

    /// Returns all held combinations.
    [[nodiscard]] std::vector<held_traits> held(time_point now) const;
    /// Returns the number of held combinations, of all kinds or of one.
    [[nodiscard]] std::size_t heldCombinations() const;
    [[nodiscard]] std::size_t heldCombinations(trait_kind kind) const;

private:
    struct known_crash
    {
        time_point at;
        std::vector<suspect_request> suspects;
        /// Requests of the service that had been answered here when the crash was learnt of.
        std::uint64_t answersBefore = 0;
        /// What this entry saw, and the number of digests that are still to carry it.
        std::vector<suspect_request> ownSuspects;
        int repetitions = 0;
    };
    struct held_state
    {
        /// Crashes of which this entry knows.
        std::set<std::uint64_t> crashes;
        /// At least the number of these crashes; more if a peer knows more.
        int crashCount = 0;
        int failedTrials = 0;
        time_point heldAt;
        time_point nextTrial;
        /// Whether this entry has sent a trial that has no result yet.
        bool isTrialRunning = false;
    };
    struct pending_clearance
    {
        time_point at;
        int repetitions = 0;
    };
    /// Attempts that implicate a trait, by crash.
    using suspicions = std::map<std::uint64_t, std::set<std::uint64_t>>;
    /// Remembers when traits of one kind were last answered, for at least the last half of a limit.
    struct answer_memory
    {
        std::unordered_map<std::uint64_t, time_point> recent;
        std::unordered_map<std::uint64_t, time_point> older;
    };
    struct service_state
    {
        std::map<std::uint64_t, known_crash> crashes;
        std::map<request_trait, suspicions> suspects;
        std::map<trait_set, held_state> held;
        /// By kind of trait.
        std::array<answer_memory, 2> answered;
        std::uint64_t answers = 0;
        std::map<request_trait, pending_clearance> clearances;
    };

    [[nodiscard]] std::vector<std::pair<const trait_set *, const held_state *>> heldWithin(const std::string &service, const trait_set &traits) const;
    /// Returns when this entry may try the held combination.
    [[nodiscard]] time_point trialTime(const trait_set &combination, const held_state &held) const;
    /// Returns whether the crash came under a request with held traits, of which this trait is none.
    [[nodiscard]] static bool isExplained(const service_state &state, const known_crash &crash, request_trait trait);
    /// Returns the crashes that implicate the trait and that held traits do not explain.
    [[nodiscard]] static std::set<std::uint64_t> unexplainedCrashes(const service_state &state, request_trait trait);
    [[nodiscard]] static std::size_t countSeparate(const service_state &state, const std::set<std::uint64_t> &crashes, duration separation);
    /// Returns the number of requests of this entry that broke in crashes that neither implicate the trait nor are explained.
    [[nodiscard]] static std::size_t brokenWithout(const service_state &state, request_trait trait, time_point since);
    /// Returns the number of requests that have to implicate the part, by how many others broke without it and were answered here since then.
    [[nodiscard]] std::size_t requestsNeeded(const service_state &state, request_trait part, time_point since, std::uint64_t answersSince) const;
    /// Returns the number of crashes in a row that a request would hardly be in by accident.
    [[nodiscard]] std::size_t crashesNeeded(const service_state &state, request_trait request, const std::set<std::uint64_t> &crashes) const;
    [[nodiscard]] bool isLikelyPart(const service_state &state, request_trait part, const std::set<std::uint64_t> &crashes) const;
    /// Returns whether a request that was never answered is implicated by all of the crashes.
    [[nodiscard]] static bool hasLikelierCause(const service_state &state, const std::set<std::uint64_t> &crashes);
    /// Returns the crashes for which the request is to be held; none if it is not.
    [[nodiscard]] std::set<std::uint64_t> crashesToHoldFor(const service_state &state, request_trait request) const;
    known_crash &addCrash(service_state &state, const crash_report &crash, time_point now);
    void noteCrashUnderHeld(service_state &state, std::uint64_t crashKey, time_point now);
    /// Returns the time from a crash under the held combination to its next trial.
    [[nodiscard]] duration pauseAfterCrash(const service_state &state, const trait_set &combination, const held_state &held) const;
    void holdLikelyCauses(const std::string &service, service_state &state, const known_crash &crash, time_point now);
    /// Holds parts until no further one is a likely cause.
    void holdLikelyParts(const std::string &service, service_state &state, const trait_set &suspects, time_point now);
    void holdLikelyRequests(const std::string &service, service_state &state, const trait_set &suspects, time_point now);
    void hold(const std::string &service, service_state &state, const trait_set &traits, held_state held, std::string_view reason, time_point now);
    void releaseSupersets(const std::string &service, service_state &state, const trait_set &traits, time_point now);
    void clear(const std::string &service, service_state &state, request_trait trait, time_point at, std::string_view reason, time_point now);
    void adopt(const held_traits &told, time_point now);
    /// Records that a peer answered the trait, and ends a hold that this entry's own evidence does not support.
    void onPeerAnswered(const clearance &told, time_point now);
    void tellClearance(service_state &state, request_trait trait, time_point at);
    void rememberAnswer(service_state &state, request_trait trait, time_point now) const;
    [[nodiscard]] static time_point lastAnswered(const service_state &state, request_trait trait);
    void forgetOutdated(const std::string &service, service_state &state, time_point now);
    void forgetCrash(service_state &state, std::uint64_t crashKey);
    [[nodiscard]] static held_traits describe(const std::string &service, const trait_set &traits, const held_state &held, time_point now);
    void noteChange(const std::string &service, const trait_set &traits, const held_state &held, bool isHeld, std::string_view reason, time_point now);

    request_quarantine_options m_options;
    std::size_t m_entries = 1;
    std::map<std::string, service_state> m_services;
    std::vector<held_change> m_changes;
    bool m_hasNews = false;
    time_point m_heldToldAt;
};

} // namespace wisteriashunt

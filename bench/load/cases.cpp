#include "load/cases.h"

#include "load/report.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>

namespace wisteriashunt::load
{

namespace
{

/// Returns the tokens per second of one engine that runs as many answers as its model allows at 42 ms between tokens.
double engineCapacity(const standin::engine_model &model)
{
    constexpr double target = 0.042;
    const double running = (target - toSeconds(model.baseGap)) / toSeconds(model.gapPerRunning);
    return running / target;
}

constexpr duration warmUp = std::chrono::seconds(20);
constexpr duration measuredWindow = std::chrono::seconds(60);
/// Time without arrivals, in which the last answers end.
constexpr duration coolDown = std::chrono::seconds(60);
constexpr int engineCount = 6;

/// One run: the simulated system, its workload and the faults to inject.
struct run_plan
{
    simulation_options options;
    std::vector<class_demand> demands;
    /// Schedules faults before the run starts; may be empty.
    std::function<void(simulation &)> prepare;
};

run_figures runOnce(run_plan plan, std::uint64_t seed)
{
    plan.options.seed = seed;
    plan.options.engines = engineCount;
    plan.options.configuration = makeConfiguration(engineCount);
    simulation subject(plan.options);
    subject.submit(drawArrivals(plan.demands, duration::zero(), warmUp + measuredWindow, seed));
    if (plan.prepare) {
        plan.prepare(subject);
    }
    subject.run(warmUp + measuredWindow + coolDown);
    return collect(subject, plan.options.configuration, warmUp, warmUp + measuredWindow);
}

class case_runner
{
public:
    explicit case_runner(const case_options &options)
        : m_options(options)
    {
    }

    case_outcome run()
    {
        const std::vector<std::pair<std::string, void (case_runner::*)()>> all{{"overload", &case_runner::overload},
                                                                               {"flood", &case_runner::flood},
                                                                               {"straggler", &case_runner::straggler},
                                                                               {"crash", &case_runner::crash},
                                                                               {"goodput", &case_runner::goodput},
                                                                               {"ways", &case_runner::compareVariants}};
        for (const auto &[name, member] : all) {
            const bool isSelected = m_options.caseName.empty() ? name != "ways" : m_options.caseName == name;
            if (isSelected) {
                m_caseName = name;
                (this->*member)();
            }
        }
        return m_outcome;
    }

private:
    /// Returns the tokens per second of all engines.
    static double capacity()
    {
        return engineCount * engineCapacity({});
    }

    run_figures run(const run_plan &plan, const std::string &label, int offset)
    {
        const run_figures figures = runOnce(plan, m_options.firstSeed + static_cast<std::uint64_t>(offset));
        if (!m_options.isQuiet) {
            printTable("[" + m_caseName + "] " + label + ", seed " + std::to_string(m_options.firstSeed + static_cast<std::uint64_t>(offset)), figures);
        }
        m_outcome.figures[m_caseName][label].push_back(toJson(figures));
        return figures;
    }

    /// Counts the target as met or missed and prints it with the range of the values over all seeds. The worst value decides.
    void checkTarget(const std::string &measure, const std::vector<double> &values, bool isMet, const std::string &target)
    {
        const auto [lowest, highest] = std::minmax_element(values.begin(), values.end());
        std::cout << (isMet ? "MET    " : "MISSED ") << m_caseName << ": " << measure << " " << std::setprecision(4) << std::defaultfloat << *lowest << " to "
                  << *highest << " over " << values.size() << " seeds, target " << target << "\n";
        (isMet ? m_outcome.met : m_outcome.missed) += 1;
    }

    void checkAtLeast(const std::string &measure, const std::vector<double> &values, double bound)
    {
        checkTarget(measure, values, *std::min_element(values.begin(), values.end()) >= bound, "at least " + std::to_string(bound));
    }

    void checkAtMost(const std::string &measure, const std::vector<double> &values, double bound)
    {
        checkTarget(measure, values, *std::max_element(values.begin(), values.end()) <= bound, "at most " + std::to_string(bound));
    }

    void overload()
    {
        // Load of twice the capacity. The two upper tiers need half of the capacity; the lowest class needs one and a half times it.
        const auto demands = mixedDemand(2 * capacity(), 0.1, 0.15, 0.75);
        std::vector<double> urgentAttainment;
        std::vector<double> urgentGain;
        std::vector<double> draftsGain;
        std::vector<double> plansServiceShare;
        std::vector<double> violations;
        for (int i = 0; i < m_options.seeds; ++i) {
            const run_figures routed = run({.options = {}, .demands = demands, .prepare = {}}, "router", i);
            const run_figures baseline = run({.options = {.isBaseline = true}, .demands = demands, .prepare = {}}, "baseline", i);
            urgentAttainment.push_back(routed.classes.at("urgent").attainment());
            urgentGain.push_back(routed.classes.at("urgent").attainment() - baseline.classes.at("urgent").attainment());
            draftsGain.push_back(routed.classes.at("drafts").attainment() - baseline.classes.at("drafts").attainment());
            plansServiceShare.push_back(routed.serviceShare("plans"));
            violations.push_back(static_cast<double>(routed.counts.orderViolations + routed.counts.refusedBeforeLower));
        }
        constexpr double plansFloor = 0.1;
        checkAtLeast("attainment of the highest tier", urgentAttainment, 0.99);
        checkAtLeast("attainment of tier 1 minus that of the baseline", urgentGain, 1e-6);
        checkAtLeast("attainment of tier 2 minus that of the baseline", draftsGain, 1e-6);
        checkAtLeast("service share of the lowest class", plansServiceShare, plansFloor);
        checkAtMost("order violations and refusals before a lower tier", violations, 0);
    }

    void flood()
    {
        // agency-c sends ten times its share of the requests in class drafts: its own third and nine times that amount on top. The other
        // workspaces must keep their attainment.
        auto alone = mixedDemand(0.7 * capacity(), 0.2, 0.6, 0.2);
        auto flooded = alone;
        auto extra = alone[1];
        extra.workspaces = {"agency-c"};
        extra.requestsPerSecond = alone[1].requestsPerSecond * 3;
        flooded.push_back(extra);
        std::vector<double> ratios;
        for (int i = 0; i < m_options.seeds; ++i) {
            const run_figures before = run({.options = {}, .demands = alone, .prepare = {}}, "alone", i);
            const run_figures after = run({.options = {}, .demands = flooded, .prepare = {}}, "flooded", i);
            for (const char *name : {"drafts/agency-a", "drafts/agency-b"}) {
                ratios.push_back(after.workspaces.at(name).attainment() / before.workspaces.at(name).attainment());
            }
        }
        checkAtLeast("attainment of the other workspaces, relative to a run without the flood", ratios, 0.9);
    }

    void straggler()
    {
        // Five engines could serve this load. One of the six becomes ten times slower when the measurement starts.
        const auto demands = mixedDemand(0.75 * capacity(), 0.3, 0.4, 0.3);
        std::vector<double> losses;
        for (int i = 0; i < m_options.seeds; ++i) {
            const run_figures before = run({.options = {}, .demands = demands, .prepare = {}}, "healthy", i);
            const run_figures after = run({.options = {},
                                           .demands = demands,
                                           .prepare = [](simulation &subject) { subject.scheduleAt(warmUp, [&subject] { subject.setSlowness(0, 10); }); }},
                                          "straggler",
                                          i);
            for (const auto &[name, group] : before.classes) {
                losses.push_back(group.attainment() - after.classes.at(name).attainment());
            }
        }
        // No class may lose more than the share of one engine and a tolerance of two percentage points.
        constexpr double engineShare = 1.0 / engineCount;
        checkAtMost("attainment lost in any class", losses, engineShare + 0.02);
    }

    void crash()
    {
        const auto demands = mixedDemand(0.6 * capacity(), 0.3, 0.4, 0.3);
        std::vector<double> spliced;
        std::vector<double> unfinished;
        std::vector<double> wasted;
        for (int i = 0; i < m_options.seeds; ++i) {
            const run_figures figures =
                run({.options = {},
                     .demands = demands,
                     .prepare =
                         [](simulation &subject) {
                             for (int second = 0; second < 50; second += 10) {
                                 subject.scheduleAt(warmUp + std::chrono::seconds(second), [&subject] { subject.failRunningStreams(1); });
                             }
                         }},
                    "crash",
                    i);
            double open = 0;
            for (const auto &[name, group] : figures.classes) {
                open += static_cast<double>(group.open);
            }
            spliced.push_back(static_cast<double>(figures.spliced));
            unfinished.push_back(open);
            wasted.push_back(figures.wastedShare());
        }
        checkAtMost("answers with tokens out of sequence", spliced, 0);
        checkAtMost("requests that neither completed nor ended with an error", unfinished, 0);
        checkAtMost("share of generated tokens wasted", wasted, 0.02);
    }

    void goodput()
    {
        std::vector<double> ratios;
        std::vector<double> wasted;
        for (int i = 0; i < m_options.seeds; ++i) {
            const run_figures atCapacity = run({.options = {}, .demands = mixedDemand(capacity(), 0.2, 0.3, 0.5), .prepare = {}}, "capacity", i);
            const run_figures overloaded = run({.options = {}, .demands = mixedDemand(2 * capacity(), 0.2, 0.3, 0.5), .prepare = {}}, "twice", i);
            run({.options = {.isBaseline = true}, .demands = mixedDemand(2 * capacity(), 0.2, 0.3, 0.5), .prepare = {}}, "baseline", i);
            ratios.push_back(overloaded.goodput() / atCapacity.goodput());
            wasted.push_back(overloaded.wastedShare());
        }
        checkAtLeast("goodput at twice the capacity, relative to goodput at capacity", ratios, 0.95);
        checkAtMost("share of generated tokens wasted at twice the capacity", wasted, 0.02);
    }

    /// Runs the default configuration and variants that differ from it in one setting each, and the baseline. Checks no target.
    void compareVariants()
    {
        const std::vector<std::pair<std::string, simulation_options>> variants{{"choice: reservation at all endpoints", {}},
                                                                               {"reservation at 1 (push to the better of two)", {.reservationSample = 1}},
                                                                               {"reservation at 2", {.reservationSample = 2}},
                                                                               {"reservation at 3", {.reservationSample = 3}},
                                                                               {"no prefix affinity", {.useAffinity = false}},
                                                                               {"fixed limit 24", {.fixedLimit = 24}},
                                                                               {"fixed limit 64", {.fixedLimit = 64}},
                                                                               {"no early refusal", {.isSheddingOff = true}},
                                                                               {"baseline", {.isBaseline = true}}};
        for (const double load : {0.9, 2.0}) {
            for (const auto &[label, options] : variants) {
                for (int i = 0; i < m_options.seeds; ++i) {
                    run({.options = options, .demands = mixedDemand(load * capacity(), 0.2, 0.3, 0.5), .prepare = {}},
                        label + " at load " + std::to_string(load).substr(0, 3),
                        i);
                }
            }
        }
    }

    case_options m_options;
    std::string m_caseName;
    case_outcome m_outcome;
};

} // namespace

case_outcome runCases(const case_options &options)
{
    return case_runner(options).run();
}

} // namespace wisteriashunt::load

#include "load/report.h"

#include <iomanip>
#include <iostream>

namespace wisteriashunt::load
{

namespace
{

constexpr double percent = 100;

bool isAttained(const request_result &result, const traffic_class &declared)
{
    if (result.outcome != request_outcome::completed || result.hasTokenOutOfSequence || result.firstTokenAt - result.request.at > declared.firstToken) {
        return false;
    }
    const duration streaming = result.endedAt - result.firstTokenAt;
    return result.tokens < 2 || streaming / (result.tokens - 1) <= declared.betweenTokens;
}

void add(group_figures &group, const request_result &result, bool attained)
{
    ++group.offered;
    group.attained += attained ? 1 : 0;
    group.completed += result.outcome == request_outcome::completed ? 1 : 0;
    group.refused += result.outcome == request_outcome::refused ? 1 : 0;
    group.aborted += result.outcome == request_outcome::aborted ? 1 : 0;
    group.open += result.outcome == request_outcome::open ? 1 : 0;
    group.attainedTokens += attained ? result.tokens : 0;
    group.servedTokens += result.tokens;
}

nlohmann::json toJson(const group_figures &group)
{
    return {{"offered", group.offered},
            {"attainment", group.attainment()},
            {"whole", group.completed},
            {"refused", group.refused},
            {"cut", group.aborted},
            {"open", group.open},
            {"attainedTokens", group.attainedTokens},
            {"servedTokens", group.servedTokens}};
}

} // namespace

double run_figures::goodput() const
{
    double tokens = 0;
    for (const auto &[name, group] : classes) {
        tokens += group.attainedTokens;
    }
    return windowSeconds > 0 ? tokens / windowSeconds : 0;
}

double run_figures::wastedShare() const
{
    return counts.tokensGenerated == 0 ? 0 : wastedTokens / static_cast<double>(counts.tokensGenerated);
}

double run_figures::serviceShare(const std::string &className) const
{
    double all = 0;
    for (const auto &[name, group] : classes) {
        all += group.servedTokens;
    }
    const auto found = classes.find(className);
    return all > 0 && found != classes.end() ? found->second.servedTokens / all : 0;
}

run_figures collect(const simulation &source, const configuration_state &configuration, duration from, duration to)
{
    run_figures figures;
    figures.windowSeconds = toSeconds(to - from);
    figures.counts = source.counts();
    double delivered = 0;
    for (const auto &result : source.results()) {
        const bool isDelivered = result.outcome == request_outcome::completed || result.outcome == request_outcome::open;
        delivered += isDelivered ? result.tokens : 0;
        figures.spliced += result.hasTokenOutOfSequence ? 1 : 0;
        const duration offset = result.request.at - epoch;
        if (offset < from || offset >= to) {
            continue;
        }
        const bool attained = isAttained(result, configuration.classes.at(result.request.className).value);
        add(figures.classes[result.request.className], result, attained);
        add(figures.workspaces[result.request.className + "/" + result.request.workspaceName], result, attained);
    }
    figures.wastedTokens = std::max(0.0, static_cast<double>(figures.counts.tokensGenerated) - delivered);
    return figures;
}

nlohmann::json toJson(const run_figures &figures)
{
    nlohmann::json document{{"goodputTokensPerSecond", figures.goodput()},
                            {"wastedShare", figures.wastedShare()},
                            {"orderViolations", figures.counts.orderViolations},
                            {"refusedBeforeLower", figures.counts.refusedBeforeLower},
                            {"spliced", figures.spliced},
                            {"messages", figures.counts.messages},
                            {"starts", figures.counts.starts},
                            {"resumes", figures.counts.resumes},
                            {"cacheHits", figures.counts.cacheHits},
                            {"floorStarts", figures.counts.floorStarts}};
    for (const auto &[name, group] : figures.classes) {
        document["classes"][name] = toJson(group);
    }
    for (const auto &[name, group] : figures.workspaces) {
        document["workspaces"][name] = toJson(group);
    }
    return document;
}

void printTable(const std::string &title, const run_figures &figures)
{
    std::cout << title << '\n';
    std::cout << "  class    offered  attainment  refused  cut  open  share of service\n";
    for (const auto &[name, group] : figures.classes) {
        std::cout << "  " << std::left << std::setw(9) << name << std::right << std::setw(7) << group.offered << std::setw(11) << std::fixed
                  << std::setprecision(2) << percent * group.attainment() << '%' << std::setw(9) << group.refused << std::setw(5) << group.aborted
                  << std::setw(6) << group.open << std::setw(17) << percent * figures.serviceShare(name) << "%\n";
    }
    std::cout << "  goodput " << std::setprecision(0) << figures.goodput() << " tokens/s, wasted " << std::setprecision(2) << percent * figures.wastedShare()
              << "%, order violations " << figures.counts.orderViolations << ", refused before lower " << figures.counts.refusedBeforeLower << ", spliced "
              << figures.spliced << ", messages per start "
              << static_cast<double>(figures.counts.messages) / static_cast<double>(std::max<std::uint64_t>(1, figures.counts.starts)) << "\n";
}

} // namespace wisteriashunt::load

#include "simulated_system.h"

#include "support.h"

#include <algorithm>

namespace wisteriashunt::testing
{

namespace
{

constexpr duration tickInterval = std::chrono::milliseconds(50);

std::string tokenOf(std::uint64_t caller, std::uint32_t index)
{
    return std::to_string(caller) + "." + std::to_string(index) + ";";
}

} // namespace

simulated_system::simulated_system(std::size_t entries, std::size_t endpoints)
    : m_now(startOfTime)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < endpoints; ++i) {
        names.push_back("e" + std::to_string(i));
    }
    m_configuration = makeState({makeClass("operations", 1, 0, names), makeClass("streams", 2, 0, names)});
    m_entries.resize(entries);
    m_endpoints.resize(endpoints);
    m_links.resize(entries * endpoints);
    for (std::size_t i = 0; i < endpoints; ++i) {
        startEndpoint(i);
    }
    for (std::size_t i = 0; i < entries; ++i) {
        startEntry(i);
    }
    for (std::size_t i = 0; i < m_links.size(); ++i) {
        reconnect(i);
    }
}

void simulated_system::startEntry(std::size_t index)
{
    auto &process = m_entries[index];
    process = {};
    process.incarnation = m_nextNumber++;
    process.core = std::make_unique<entry_core>(
        entry_core_options{.incarnation = process.incarnation, .random = [this](std::uint64_t bound) { return m_random() % bound; }});
    toEntry(index, configuration_changed{m_configuration});
}

void simulated_system::startEndpoint(std::size_t index)
{
    auto &process = m_endpoints[index];
    process = {};
    process.incarnation = m_nextNumber++;
    process.core = std::make_unique<endpoint_core>(
        endpoint_core_options{.endpointName = "e" + std::to_string(index), .incarnation = process.incarnation, .limiter = {.initial = 3}, .ledger = {}});
    toEndpoint(index, configuration_changed{m_configuration});
}

simulated_system::link &simulated_system::linkAt(std::size_t entry, std::size_t endpoint)
{
    return m_links[entry * m_endpoints.size() + endpoint];
}

void simulated_system::submit(std::size_t entry, const routed_request &request, const caller_view &view)
{
    entry %= m_entries.size();
    m_callers.push_back(view);
    m_callerEntryIncarnations.push_back(m_entries[entry].incarnation);
    if (!m_entries[entry].isFrozen) {
        toEntry(entry, request_received{.caller = m_callers.size(), .request = request});
    } else {
        m_callers.back().hasDisconnected = true;
    }
}

void simulated_system::submitOperation(std::size_t entry, int operation, bool withKey)
{
    const std::string name = withKey ? "keyed-" + std::to_string(operation) : "plain-" + std::to_string(m_callers.size());
    const routed_request request{.workspaceName = "w",
                                 .className = "operations",
                                 .method = "POST",
                                 .path = "/deposits",
                                 .body = name,
                                 .idempotent = false,
                                 .idempotencyKey = withKey ? name : "",
                                 .fingerprint = 1};
    submit(entry, request, {.operation = name});
}

void simulated_system::submitStream(std::size_t entry, std::uint32_t length)
{
    const routed_request request{
        .workspaceName = "w", .className = "streams", .method = "POST", .path = chatPath, .body = std::to_string(length), .streaming = true};
    submit(entry, request, {.length = length});
}

void simulated_system::disconnectCaller(std::size_t caller)
{
    if (m_callers.empty()) {
        return;
    }
    caller %= m_callers.size();
    m_callers[caller].hasDisconnected = true;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].incarnation == m_callerEntryIncarnations[caller] && !m_entries[i].isFrozen) {
            toEntry(i, caller_disconnected{caller + 1});
        }
    }
}

void simulated_system::deliver(std::size_t index, bool toEndpointSide)
{
    index %= m_links.size();
    link &connection = m_links[index];
    const std::size_t entry = index / m_endpoints.size();
    const std::size_t endpoint = index % m_endpoints.size();
    if (toEndpointSide && !connection.toEndpoint.empty()) {
        const message content = connection.toEndpoint.front();
        connection.toEndpoint.pop_front();
        toEndpoint(endpoint, peer_message{.peer = connection.peer, .content = content});
    } else if (!toEndpointSide && !connection.toEntry.empty() && !m_entries[entry].isFrozen) {
        const message content = connection.toEntry.front();
        connection.toEntry.pop_front();
        toEntry(entry, peer_message{.peer = connection.peer, .content = content});
    }
}

void simulated_system::deliverAll(std::size_t index)
{
    index %= m_links.size();
    const bool isFrozen = m_entries[index / m_endpoints.size()].isFrozen;
    while (!m_links[index].toEndpoint.empty() || (!isFrozen && !m_links[index].toEntry.empty())) {
        deliver(index, true);
        deliver(index, false);
    }
}

void simulated_system::disconnect(std::size_t index)
{
    index %= m_links.size();
    link &connection = m_links[index];
    if (!connection.isUp) {
        return;
    }
    connection.isUp = false;
    connection.toEndpoint.clear();
    connection.toEntry.clear();
    toEndpoint(index % m_endpoints.size(), peer_lost{connection.peer});
    toEntry(index / m_endpoints.size(), peer_lost{connection.peer});
}

void simulated_system::reconnect(std::size_t index)
{
    index %= m_links.size();
    link &connection = m_links[index];
    const std::size_t entry = index / m_endpoints.size();
    const std::size_t endpoint = index % m_endpoints.size();
    if (connection.isUp || m_entries[entry].isFrozen) {
        return;
    }
    connection = {.peer = m_nextNumber++, .isUp = true, .toEndpoint = {}, .toEntry = {}};
    toEntry(entry, endpoint_connected{.peer = connection.peer, .name = "e" + std::to_string(endpoint), .incarnation = m_endpoints[endpoint].incarnation});
}

void simulated_system::killEntry(std::size_t entry)
{
    entry %= m_entries.size();
    for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
        link &connection = linkAt(entry, i);
        if (connection.isUp) {
            connection.isUp = false;
            connection.toEndpoint.clear();
            connection.toEntry.clear();
            toEndpoint(i, peer_lost{connection.peer});
        }
    }
    for (std::size_t i = 0; i < m_callers.size(); ++i) {
        // Callers without a final answer are disconnected.
        m_callers[i].hasDisconnected =
            m_callers[i].hasDisconnected || (m_callerEntryIncarnations[i] == m_entries[entry].incarnation && m_callers[i].finalAnswers == 0);
    }
    startEntry(entry);
}

void simulated_system::killEndpoint(std::size_t endpoint)
{
    endpoint %= m_endpoints.size();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        link &connection = linkAt(i, endpoint);
        if (connection.isUp) {
            connection.isUp = false;
            connection.toEndpoint.clear();
            connection.toEntry.clear();
            toEntry(i, peer_lost{connection.peer});
        }
    }
    startEndpoint(endpoint);
}

void simulated_system::freezeEntry(std::size_t entry, bool frozen)
{
    m_entries[entry % m_entries.size()].isFrozen = frozen;
}

void simulated_system::requestEndpointLeave(std::size_t endpoint)
{
    toEndpoint(endpoint % m_endpoints.size(), leave_requested{});
}

void simulated_system::listEndpointLeaving(std::size_t endpoint)
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        toEntry(i, endpoints_listed_leaving{{"e" + std::to_string(endpoint % m_endpoints.size())}});
    }
}

void simulated_system::advance(duration time)
{
    for (duration passed{}; passed < time; passed += tickInterval) {
        m_now += tickInterval;
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
            toEndpoint(i, tick{});
            for (std::size_t e = 0; e < m_entries.size(); ++e) {
                link &connection = linkAt(e, i);
                if (connection.isUp && connection.toEntry.empty() && !m_entries[e].isFrozen) {
                    toEntry(e, peer_message{.peer = connection.peer, .content = m_endpoints[i].core->status(m_now)});
                }
            }
        }
        for (std::size_t e = 0; e < m_entries.size(); ++e) {
            if (!m_entries[e].isFrozen) {
                toEntry(e, tick{});
            }
        }
    }
}

void simulated_system::setLogDown(bool down)
{
    m_isLogDown = down;
}

void simulated_system::appendPending(std::size_t entry, bool loseAnswer)
{
    auto &process = m_entries[entry % m_entries.size()];
    if (m_isLogDown || process.isFrozen || process.appends.empty()) {
        return;
    }
    m_log.push_back(process.appends.front());
    if (!loseAnswer) {
        process.appends.pop_front();
    }
}

void simulated_system::readLog(std::size_t entry)
{
    entry %= m_entries.size();
    auto &process = m_entries[entry];
    if (process.isFrozen) {
        return;
    }
    if (m_isLogDown) {
        toEntry(entry, claims_available{false});
        return;
    }
    claims_read page{.firstRetained = 1, .records = {}};
    for (; process.nextRead <= m_log.size(); ++process.nextRead) {
        page.records.push_back({.offset = process.nextRead, .data = m_log[process.nextRead - 1]});
    }
    toEntry(entry, page);
    toEntry(entry, claims_available{true});
}

void simulated_system::runUpstream(std::size_t endpoint, bool loseAnswer)
{
    endpoint %= m_endpoints.size();
    auto &work = m_endpoints[endpoint].work;
    const auto position = std::find_if(work.begin(), work.end(), [](const upstream_work &item) { return !item.request.streaming; });
    if (position == work.end()) {
        return;
    }
    const start request = position->request;
    work.erase(position);
    ++m_runs[request.body];
    ++m_runsOfCaller[request.id.request.sequence];
    if (loseAnswer) {
        toEndpoint(endpoint, upstream_failed{.id = request.id, .mayHaveBeenSent = true, .detail = "answer lost"});
    } else {
        toEndpoint(endpoint, upstream_finished{finished{.id = request.id, .httpStatus = 200, .contentType = "text/plain", .body = request.body, .events = 0}});
    }
}

void simulated_system::emitToken(std::size_t endpoint)
{
    endpoint %= m_endpoints.size();
    auto &work = m_endpoints[endpoint].work;
    const auto position = std::find_if(work.begin(), work.end(), [](const upstream_work &item) { return item.request.streaming; });
    if (position == work.end()) {
        return;
    }
    upstream_work item = *position;
    work.erase(position);
    const auto length = static_cast<std::uint32_t>(std::stoul(item.request.body));
    if (item.next >= length) {
        toEndpoint(endpoint,
                   upstream_finished{finished{.id = item.request.id, .httpStatus = 200, .contentType = "text/event-stream", .body = {}, .events = 0}});
        return;
    }
    const std::string token = tokenOf(item.request.id.request.sequence, item.next++);
    work.push_back(item);
    toEndpoint(endpoint, upstream_chunk{.id = item.request.id, .events = 1, .data = token});
}

void simulated_system::failStream(std::size_t endpoint)
{
    endpoint %= m_endpoints.size();
    auto &work = m_endpoints[endpoint].work;
    const auto position = std::find_if(work.begin(), work.end(), [](const upstream_work &item) { return item.request.streaming; });
    if (position != work.end()) {
        const attempt_id id = position->request.id;
        work.erase(position);
        toEndpoint(endpoint, upstream_failed{.id = id, .mayHaveBeenSent = true, .detail = "reset"});
    }
}

void simulated_system::settle(duration time)
{
    setLogDown(false);
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        freezeEntry(i, false);
    }
    for (duration passed{}; passed < time; passed += tickInterval) {
        for (std::size_t i = 0; i < m_links.size(); ++i) {
            reconnect(i);
            deliverAll(i);
        }
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            while (!m_entries[i].appends.empty()) {
                appendPending(i, false);
            }
            readLog(i);
        }
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
            runUpstream(i, false);
            emitToken(i);
        }
        advance(tickInterval);
    }
}

void simulated_system::toEntry(std::size_t index, const entry_event &event)
{
    execute(index, m_entries[index].core->handle(m_now, event));
}

void simulated_system::toEndpoint(std::size_t index, const endpoint_event &event)
{
    execute(index, m_endpoints[index].core->handle(m_now, event));
}

void simulated_system::countFinalAnswer(caller_id caller)
{
    ++m_callers[caller - 1].finalAnswers;
}

void simulated_system::execute(std::size_t index, std::vector<entry_action> actions)
{
    for (auto &action : actions) {
        if (const auto *send = std::get_if<send_to_peer>(&action)) {
            for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
                link &connection = linkAt(index, i);
                if (connection.isUp && connection.peer == send->peer) {
                    connection.toEndpoint.push_back(send->content);
                }
            }
        } else if (const auto *complete = std::get_if<answer_complete>(&action)) {
            auto &caller = m_callers[complete->caller - 1];
            caller.received = complete->body;
            caller.isComplete = true;
            countFinalAnswer(complete->caller);
        } else if (const auto *error = std::get_if<answer_error>(&action)) {
            m_callers[error->caller - 1].error = error->kind;
            countFinalAnswer(error->caller);
        } else if (const auto *part = std::get_if<answer_chunk>(&action)) {
            m_callers[part->caller - 1].received += part->data;
        } else if (const auto *end = std::get_if<answer_end>(&action)) {
            m_callers[end->caller - 1].isComplete = true;
            countFinalAnswer(end->caller);
        } else if (const auto *aborted = std::get_if<answer_aborted>(&action)) {
            m_callers[aborted->caller - 1].isAborted = true;
            countFinalAnswer(aborted->caller);
        } else if (const auto *claimed = std::get_if<append_claim>(&action)) {
            m_entries[index].appends.push_back(claimed->record);
        }
    }
}

void simulated_system::execute(std::size_t index, std::vector<endpoint_action> actions)
{
    for (auto &action : actions) {
        if (const auto *send = std::get_if<send_to_peer>(&action)) {
            for (std::size_t e = 0; e < m_entries.size(); ++e) {
                link &connection = linkAt(e, index);
                if (connection.isUp && connection.peer == send->peer) {
                    connection.toEntry.push_back(send->content);
                }
            }
        } else if (const auto *started = std::get_if<start_upstream>(&action)) {
            ++m_endpoints[index].starts;
            m_endpoints[index].work.push_back({.request = started->request, .next = started->request.resumeFrom});
        } else if (const auto *cancelled = std::get_if<cancel_upstream>(&action)) {
            std::erase_if(m_endpoints[index].work, [&](const upstream_work &item) { return item.request.id == cancelled->id; });
        }
    }
}

std::optional<std::string> simulated_system::violation() const
{
    for (const auto &[operation, runs] : m_runs) {
        if (runs > 1) {
            return "operation " + operation + " ran " + std::to_string(runs) + " times";
        }
    }
    for (std::size_t i = 0; i < m_callers.size(); ++i) {
        const caller_view &caller = m_callers[i];
        const std::string label = "caller " + std::to_string(i + 1);
        if (caller.finalAnswers > 1) {
            return label + " got " + std::to_string(caller.finalAnswers) + " final answers";
        }
        const auto runs = m_runsOfCaller.find(i + 1);
        const bool saysNotRun = caller.error && answerFor(*caller.error).runState == run_state::not_run;
        if (saysNotRun && runs != m_runsOfCaller.end()) {
            return label + " was told " + std::string(answerFor(*caller.error).name) + " but its operation ran";
        }
        if (!caller.operation.empty()) {
            if (caller.isComplete && (caller.received != caller.operation || runsOf(caller.operation) != 1)) {
                return label + " got the answer \"" + caller.received + "\" to operation \"" + caller.operation + "\", which ran "
                    + std::to_string(runsOf(caller.operation)) + " times";
            }
            continue;
        }
        std::string expected;
        for (std::uint32_t token = 0; token < caller.length; ++token) {
            expected += tokenOf(i + 1, token);
        }
        if (!expected.starts_with(caller.received) || (caller.isComplete && caller.received != expected)) {
            return label + " received \"" + caller.received + "\", expected \"" + expected + "\"";
        }
    }
    return std::nullopt;
}

const std::vector<caller_view> &simulated_system::callers() const
{
    return m_callers;
}

int simulated_system::runsOf(const std::string &operation) const
{
    const auto found = m_runs.find(operation);
    return found == m_runs.end() ? 0 : found->second;
}

std::uint64_t simulated_system::startsAt(std::size_t endpoint) const
{
    return m_endpoints[endpoint].starts;
}

std::size_t simulated_system::unansweredCallers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_callers.begin(), m_callers.end(), [](const caller_view &caller) { return caller.finalAnswers == 0 && !caller.hasDisconnected; }));
}

} // namespace wisteriashunt::testing

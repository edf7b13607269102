#include "duties/scaling_duty.h"

#include "wisteriashunt/errors.h"

#include <algorithm>
#include <utility>

namespace wisteriashunt
{

namespace
{

/// Wall clocks that tell of more are wrong.
constexpr std::chrono::hours maxOrderAge{24};
/// Most peers whose load is kept.
constexpr std::size_t maxPeers = 512;

std::int64_t millisecondsOf(time_point at)
{
    return std::chrono::floor<std::chrono::milliseconds>(at).time_since_epoch().count();
}

} // namespace

scaling_duty::scaling_duty(const scaling_duty_options &options, time_point now)
    : m_options(options)
    , m_claim(options.claim, now)
    , m_callAt(now)
{
}

void scaling_duty::setServices(std::map<std::string, scaling_declaration> services)
{
    m_services = std::move(services);
    std::erase_if(m_policies, [this](const auto &item) { return !m_services.contains(item.first); });
}

bool scaling_duty::hasServices() const
{
    return !m_services.empty();
}

void scaling_duty::onNotice(const duty_notice &notice, time_point now)
{
    if (notice.instance == m_options.claim.instance) {
        return;
    }
    m_claim.onNotice(notice, now);
    m_newestSequence = std::max(m_newestSequence, notice.fixedThrough);
    m_doneThrough = std::max(m_doneThrough, notice.reportedThrough);
    for (auto &[of, state] : m_orders) {
        state.order.isDone |= state.order.sequence <= notice.reportedThrough;
    }
}

void scaling_duty::onFigures(const std::string &instance, scaling_figures figures, time_point now)
{
    std::erase_if(m_figures, [&](const auto &told) { return now - told.second.at >= m_options.figuresLifetime; });
    if (instance.empty() || instance == m_options.claim.instance || m_figures.size() >= maxPeers || figures.rows.size() > m_options.maxSubjects) {
        return;
    }
    m_figures[instance] = {.figures = std::move(figures), .at = now};
}

void scaling_duty::setLeaving()
{
    m_claim.setLeaving();
}

duty_notice scaling_duty::notice(time_point now, time_point wall) const
{
    return {.instance = m_options.claim.instance,
            .number = m_claim.number(),
            .holder = m_claim.holder(),
            .fixedThrough = m_newestSequence,
            .reportedThrough = m_doneThrough,
            .isAble = m_claim.isAble(now),
            .isLeaving = m_claim.isLeaving(),
            .isHolding = m_claim.isHolding(),
            .wallMicroseconds = wall.time_since_epoch().count()};
}

std::vector<std::string> scaling_duty::figuresReceivers(time_point now) const
{
    auto names = m_claim.candidates(now);
    names.resize(std::min(names.size(), m_options.receivers));
    return names;
}

std::vector<duty_action> scaling_duty::step(const scaling_view &view, time_point now, time_point wall)
{
    m_wall = wall;
    std::vector<duty_action> actions;
    if (!hasServices()) {
        m_pending.clear();
        return actions;
    }
    giveUpExpired(now);
    decide(view, now);
    const auto number = m_claim.actingNumber(now);
    if (number) {
        if (auto call = nextCall(*number, now)) {
            actions.emplace_back(*std::move(call));
        }
    }
    // Another entry with another memory of the load may rightly see no reason for a lower number.
    const auto isRise = [](const auto &item) { return item.second.cause != scaling_cause::fall && item.second.cause != scaling_cause::growth; };
    const bool isDue = hasOpenOrders() || std::any_of(m_pending.begin(), m_pending.end(), isRise);
    if (!isDue) {
        m_dueSince.reset();
    } else if (!m_dueSince) {
        m_dueSince = now;
    }
    const auto receivers = figuresReceivers(now);
    const bool mayInform = !m_isInformed && std::find(receivers.begin(), receivers.end(), m_options.claim.instance) != receivers.end();
    const bool isNeeded = !m_pending.empty() || (hasOpenOrders() && !number) || mayInform;
    switch (m_claim.next(isNeeded, m_dueSince && now - *m_dueSince >= m_options.overdue, now)) {
    case duty_claim::next_call::none:
        break;
    case duty_claim::next_call::read:
        m_claim.beginRead();
        actions.emplace_back(read_newest_action{});
        break;
    case duty_claim::next_call::append:
        actions.emplace_back(m_claim.beginAppend(contentsWithPending(), now));
        break;
    }
    return actions;
}

void scaling_duty::onNewest(const newest_answer &answer, time_point now)
{
    if (m_claim.onNewest(answer, now)) {
        readContents(now);
    }
}

void scaling_duty::onAppend(const append_answer &answer, time_point now)
{
    if (m_claim.onAppend(answer, now)) {
        readContents(now);
    }
}

void scaling_duty::onCall(call_outcome outcome, time_point now)
{
    if (!m_call) {
        return;
    }
    const auto call = *std::exchange(m_call, std::nullopt);
    m_claim.onCall(outcome, now);
    if (outcome != call_outcome::accepted && outcome != call_outcome::refused) {
        if (outcome != call_outcome::not_sent) {
            m_callAt = now + m_claim.pauseAfter(++m_callFailures, m_options.minCallPause, m_options.maxCallPause);
        }
        return;
    }
    m_callFailures = 0;
    const auto found = m_orders.find(call.of);
    if (found != m_orders.end() && found->second.order.sequence == call.sequence) {
        const bool isAccepted = outcome == call_outcome::accepted;
        ++(isAccepted ? m_ordered : m_refused);
        end(found->second, call.number, isAccepted ? duty_event_kind::ordered : duty_event_kind::order_refused, found->second.cause);
    }
}

bool scaling_duty::mayCall(std::int64_t number, time_point now) const
{
    return m_call && m_call->number == number && m_claim.actingNumber(now) == number;
}

std::vector<duty_event> scaling_duty::takeEvents()
{
    return m_claim.takeEvents();
}

scaling_duty_status scaling_duty::status(time_point now) const
{
    const auto isOpen = [](const auto &item) { return !item.second.order.isDone; };
    const auto isTelling = [&](const auto &item) { return isFresh(item.first, now); };
    return {.claim = m_claim.status(now),
            .tellingEntries = 1 + static_cast<std::size_t>(std::count_if(m_figures.begin(), m_figures.end(), isTelling)),
            .ordered = m_ordered,
            .refused = m_refused,
            .open = static_cast<std::size_t>(std::count_if(m_orders.begin(), m_orders.end(), isOpen))};
}

void scaling_duty::decide(const scaling_view &view, time_point now)
{
    m_pending.clear();
    for (const auto &[name, bounds] : m_services) {
        for (auto &decision : m_policies.try_emplace(name, m_options.policy).first->second.decide(serviceOf(name, bounds, view, now), now)) {
            if (m_pending.size() < m_options.maxSubjects) {
                const subject of{name, decision.availabilityZone};
                m_pending.emplace(of, std::move(decision));
            }
        }
    }
}

scaled_service scaling_duty::serviceOf(const std::string &name, const scaling_declaration &bounds, const scaling_view &view, time_point now) const
{
    scaled_service service{.bounds = bounds, .zones = {}, .elsewhere = {}};
    const auto zoneOf = [&](const std::string &availabilityZone) -> scaled_zone & {
        const auto isIt = [&](const scaled_zone &zone) { return zone.availabilityZone == availabilityZone; };
        const auto known = std::find_if(service.zones.begin(), service.zones.end(), isIt);
        return known != service.zones.end() ? *known : service.zones.emplace_back(scaled_zone{.availabilityZone = availabilityZone, .load = {}, .order = {}});
    };
    int endpoints = 0;
    int slots = 0;
    for (const auto &zone : view.zones) {
        if (zone.service == name) {
            zoneOf(zone.availabilityZone).serving += zone.endpoints;
            endpoints += zone.endpoints;
            slots += zone.slots;
        }
    }
    for (const auto &[of, state] : m_orders) {
        if (of.first == name) {
            zoneOf(of.second).order = placed_order{.desired = state.order.desired, .at = state.at};
        }
    }
    service.slots = endpoints > 0 ? static_cast<double>(slots) / endpoints : 1;

    addLoad(service, name, view.figures);
    std::size_t telling = 1;
    for (const auto &[instance, told] : m_figures) {
        if (isFresh(instance, now)) {
            addLoad(service, name, told.figures);
            ++telling;
        }
    }
    const auto isSilent = [&](const std::string &peer) { return !isFresh(peer, now); };
    const auto recent = m_claim.heardPeers(m_options.riseMemory, now);
    const auto known = m_claim.heardPeers(m_options.fallMemory, now);
    service.isUsable = m_isInformed && view.isListCurrent && 2 * telling >= recent.size() + 1;
    service.isComplete = service.isUsable && std::none_of(known.begin(), known.end(), isSilent);
    return service;
}

void scaling_duty::addLoad(scaled_service &service, const std::string &name, const scaling_figures &figures) const
{
    for (const auto &row : figures.rows) {
        if (row.service != name) {
            continue;
        }
        const auto isIt = [&](const scaled_zone &each) { return each.availabilityZone == row.availabilityZone; };
        const auto zone = std::find_if(service.zones.begin(), service.zones.end(), isIt);
        auto &sum = zone != service.zones.end() ? zone->load : service.elsewhere;
        const auto &load = row.load;
        // The mean over what has begun, so that one entry with few requests does not decide.
        const auto begun = sum.begunPerSecond + load.begunPerSecond;
        if (begun > 0) {
            sum.firstByteShare = (sum.firstByteShare * sum.begunPerSecond + load.firstByteShare * load.begunPerSecond) / begun;
        }
        sum.begunPerSecond = begun;
        sum.running += load.running;
        sum.waiting += load.waiting;
        sum.refusedPerSecond += load.refusedPerSecond;
    }
}

bool scaling_duty::isFresh(const std::string &instance, time_point now) const
{
    const auto told = m_figures.find(instance);
    return told != m_figures.end() && now - told->second.at < m_options.figuresLifetime;
}

bool scaling_duty::hasOpenOrders() const
{
    return std::any_of(m_orders.begin(), m_orders.end(), [](const auto &item) { return !item.second.order.isDone; });
}

std::optional<duty_action> scaling_duty::nextCall(std::int64_t number, time_point now)
{
    if (m_call || now < m_callAt) {
        return std::nullopt;
    }
    const order_state *next = nullptr;
    for (const auto &[of, state] : m_orders) {
        // One that is about to be replaced is not sent.
        if (!state.order.isDone && !m_pending.contains(of) && (next == nullptr || state.order.sequence < next->order.sequence)) {
            next = &state;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    const auto &order = next->order;
    m_call = {.number = number, .of = {order.service, order.availabilityZone}, .sequence = order.sequence};
    return order_endpoints_action{.number = number, .service = order.service, .availabilityZone = order.availabilityZone, .desired = order.desired};
}

std::string scaling_duty::contentsWithPending()
{
    std::vector<recorded_order> orders;
    auto sequence = m_newestSequence;
    for (const auto &[of, state] : m_orders) {
        sequence = std::max(sequence, state.order.sequence);
        if (!m_pending.contains(of) && m_services.contains(of.first) && orders.size() + m_pending.size() < m_options.maxSubjects) {
            orders.push_back(state.order);
        }
    }
    m_causes.clear();
    for (const auto &[of, decision] : m_pending) {
        orders.push_back({.service = of.first,
                          .availabilityZone = of.second,
                          .desired = decision.desired,
                          .sequence = ++sequence,
                          .wallMilliseconds = millisecondsOf(m_wall)});
        m_causes[sequence] = describe(decision);
    }
    return encodeOrders(orders);
}

void scaling_duty::readContents(time_point now)
{
    m_isInformed = true;
    const auto *bytes = m_claim.newest();
    if (bytes == nullptr) {
        return;
    }
    std::vector<recorded_order> orders;
    try {
        orders = decodeOrders(*bytes);
    } catch (const shunt_error &error) {
        m_claim.report({.kind = duty_event_kind::disagreement, .number = m_claim.number(), .cause = error.what()});
        return;
    }
    for (auto &order : orders) {
        const subject of{order.service, order.availabilityZone};
        const auto known = m_orders.find(of);
        // A log that returned from a copy may have an older one.
        if (known != m_orders.end() && order.sequence <= known->second.order.sequence) {
            known->second.order.isDone |= order.isDone && order.sequence == known->second.order.sequence;
            continue;
        }
        m_newestSequence = std::max(m_newestSequence, order.sequence);
        order.isDone |= order.sequence <= m_doneThrough;
        const auto cause = m_causes.find(order.sequence);
        const bool isOwn = m_claim.isHolding() && cause != m_causes.end();
        const duration age = std::chrono::milliseconds(millisecondsOf(m_wall) - order.wallMilliseconds);
        m_orders[of] = {
            .order = order, .at = now - std::clamp<duration>(age, duration(), maxOrderAge), .cause = isOwn ? cause->second : "recorded by a former holder"};
        m_pending.erase(of);
    }
    updateDoneThrough();
}

void scaling_duty::giveUpExpired(time_point now)
{
    for (auto &[of, state] : m_orders) {
        const bool isSent = m_call && m_call->of == of;
        if (!state.order.isDone && !isSent && (now - state.at >= m_options.orderLifetime || !m_services.contains(of.first))) {
            end(state, m_claim.number(), duty_event_kind::order_refused, "it was not accepted in time");
        }
    }
}

void scaling_duty::end(order_state &state, std::int64_t number, duty_event_kind kind, std::string cause)
{
    state.order.isDone = true;
    if (m_claim.isHolding()) {
        m_claim.report({.kind = kind,
                        .number = number,
                        .cause = std::move(cause),
                        .total = static_cast<std::uint64_t>(std::max(0, state.order.desired)),
                        .service = state.order.service,
                        .availabilityZone = state.order.availabilityZone});
    }
    updateDoneThrough();
}

void scaling_duty::updateDoneThrough()
{
    std::int64_t done = -1;
    std::optional<std::int64_t> firstOpen;
    for (const auto &[of, state] : m_orders) {
        done = std::max(done, state.order.sequence);
        if (!state.order.isDone) {
            firstOpen = std::min(firstOpen.value_or(state.order.sequence), state.order.sequence);
        }
    }
    m_doneThrough = std::max(m_doneThrough, firstOpen ? *firstOpen - 1 : done);
}

} // namespace wisteriashunt

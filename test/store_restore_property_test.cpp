// Property test of the records that entries keep of the platform's log, which at any moment may return from a copy that lacks its newest
// records. Operators and endpoints write, the log executes versions of the operators' declarations late, endpoints come, drain, go and reuse
// addresses, entries start, answers are late or lost, and the log refuses some entries, which then learn from others.
#include "membership/record_decoders.h"
#include "wisteriashunt/errors.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <memory>
#include <set>
#include <sstream>

namespace wisteriashunt
{
namespace
{

enum topic_index : std::size_t { declarations, endpoints };

constexpr std::size_t topicCount = 2;

constexpr std::size_t entryCount = 4;
/// The log refuses this entry in every case.
constexpr std::size_t refusedEntry = entryCount - 1;
constexpr std::size_t pageSize = 2;
constexpr const char *configKey = "config";

record_decoders plainDecoders()
{
    return {.declarations = [](const std::string &value) { return routing_declarations{.version = std::stoll(value)}; },
            .endpoint =
                [](const std::string &key, const std::string &value) {
                    std::istringstream in(value);
                    endpoint_record record{.id = key, .service = "s"};
                    in >> record.startedAtMilliseconds >> record.sequence >> record.isDraining >> record.address.port;
                    return record;
                },
            .declarationsKey = configKey};
}

/// The log: keyed topics that lose their newest records when it returns from a copy.
class simulated_log
{
public:
    struct answer
    {
        std::int64_t epoch = 0;
        bool isMissing = false;
        keyed_page page;
    };

    void append(topic_index topic, const std::string &key, const std::optional<std::string> &value)
    {
        m_topics[topic].push_back({.key = key, .value = value, .offset = static_cast<std::int64_t>(m_topics[topic].size())});
    }

    void restore(std::size_t lostRecords)
    {
        for (auto &records : m_topics) {
            records.resize(records.size() - std::min(records.size(), lostRecords));
        }
        for (std::size_t i = 0; i < topicCount; ++i) {
            m_firsts[i] = std::min(m_firsts[i], m_topics[i].size());
        }
        ++m_epoch;
    }

    /// Deletes all but the newest record of each key.
    void compact()
    {
        for (std::size_t i = 0; i < topicCount; ++i) {
            m_firsts[i] = m_topics[i].size();
        }
    }

    [[nodiscard]] answer serve(topic_index topic, const log_read &read) const
    {
        const auto &records = m_topics[topic];
        answer result{.epoch = m_epoch, .page = {.end = static_cast<std::int64_t>(records.size())}};
        if (read.isNewest) {
            for (const auto &[key, record] : newest(topic)) {
                if (key > read.afterKey && result.page.records.size() < pageSize) {
                    result.page.records.push_back(record);
                    result.page.hasMore = key != newest(topic).rbegin()->first;
                }
            }
            return result;
        }
        const auto from = static_cast<std::size_t>(read.from.offset);
        if (from > records.size() || from < m_firsts[topic]) {
            return {.epoch = m_epoch, .isMissing = true};
        }
        result.page.records.assign(records.begin() + read.from.offset, records.end());
        return result;
    }

    [[nodiscard]] std::map<std::string, keyed_record> newest(topic_index topic) const
    {
        std::map<std::string, keyed_record> result;
        for (const auto &record : m_topics[topic]) {
            if (record.value) {
                result[record.key] = record;
            } else {
                result.erase(record.key);
            }
        }
        return result;
    }

    [[nodiscard]] std::int64_t epoch() const
    {
        return m_epoch;
    }

private:
    std::int64_t m_epoch = 1;
    std::array<std::vector<keyed_record>, topicCount> m_topics;
    std::array<std::size_t, topicCount> m_firsts{};
};

/// An entry: its records of both topics, the version in force, and the endpoints that it may choose.
class simulated_entry
{
public:
    [[nodiscard]] topic_records &recordsOf(topic_index topic)
    {
        return topic == declarations ? m_declarations : m_endpoints;
    }

    void call(const simulated_log &log, topic_index topic)
    {
        const auto read = recordsOf(topic).nextRead();
        m_calls[topic] = {read, log.serve(topic, read)};
    }

    /// Takes the answer to the pending call, which may be late. Returns false if none is pending.
    bool receive(topic_index topic)
    {
        auto pending = std::exchange(m_calls[topic], std::nullopt);
        if (!pending) {
            return false;
        }
        const auto &[read, answer] = *pending;
        if (answer.epoch < recordsOf(topic).epoch()) {
            return true;
        }
        noteEpoch(answer.epoch);
        if (answer.isMissing) {
            recordsOf(topic).onMissing(read);
        } else {
            recordsOf(topic).onPage(read, answer.page);
        }
        recordsOf(topic).takeChange();
        return true;
    }

    void loseAnswer(topic_index topic)
    {
        m_calls[topic].reset();
    }

    void noteEpoch(std::int64_t epoch)
    {
        m_declarations.noteEpoch(epoch);
        m_endpoints.noteEpoch(epoch);
    }

    void learnFrom(simulated_entry &peer)
    {
        noteEpoch(std::max(peer.m_declarations.epoch(), peer.m_endpoints.epoch()));
        for (const auto topic : {declarations, endpoints}) {
            recordsOf(topic).merge(peer.recordsOf(topic).snapshot());
            recordsOf(topic).takeChange();
        }
    }

    void expireHolds()
    {
        for (const auto &id : std::exchange(m_held, {})) {
            m_roster.remove(id);
        }
    }

    [[nodiscard]] std::int64_t version() const
    {
        return m_version;
    }

    /// Endpoints that may be chosen, with their incarnation and sequence.
    [[nodiscard]] std::map<std::string, std::pair<std::int64_t, std::int64_t>> eligible() const
    {
        std::map<std::string, std::pair<std::int64_t, std::int64_t>> result;
        for (const auto &endpoint : m_roster.ofService("s")) {
            if (!endpoint->record.isDraining) {
                result[endpoint->record.id] = {endpoint->record.startedAtMilliseconds, endpoint->record.sequence};
            }
        }
        return result;
    }

private:
    void onDeclarations(const keyed_record &record)
    {
        if (record.value) {
            m_version = std::max<std::int64_t>(m_version, std::stoll(*record.value));
        }
    }

    void onEndpoint(const keyed_record &record)
    {
        if (record.value) {
            m_held.erase(record.key);
            m_roster.apply(plainDecoders().endpoint(record.key, *record.value));
        } else if (m_endpoints.hasNewEpoch()) {
            m_held.insert(record.key);
        } else {
            m_held.erase(record.key);
            m_roster.remove(record.key);
        }
    }

    std::int64_t m_version = -1;
    endpoint_roster m_roster;
    std::set<std::string> m_held;
    topic_records m_declarations{declarationRules(plainDecoders()), [this](const keyed_record &record) { onDeclarations(record); }};
    topic_records m_endpoints{endpointRules(plainDecoders()), [this](const keyed_record &record) { onEndpoint(record); }};
    std::array<std::optional<std::pair<log_read, simulated_log::answer>>, topicCount> m_calls;
};

/// An endpoint as it is, whatever the log holds.
struct simulated_endpoint
{
    std::int64_t startedAt = 0;
    std::int64_t sequence = 0;
    bool isDraining = false;
    bool isAlive = false;
    int port = 0;
};

class restore_simulation
{
public:
    restore_simulation()
    {
        for (auto &entry : m_entries) {
            entry = std::make_unique<simulated_entry>();
        }
        declare();
    }

    void step(int action, int argument)
    {
        const auto index = static_cast<std::size_t>(argument);
        auto &entry = *m_entries[index % entryCount];
        const auto topic = static_cast<topic_index>(index / entryCount % topicCount);
        const bool isServed = index % entryCount != refusedEntry;
        switch (action) {
        case 0:
            declare();
            break;
        case 1:
            start(index);
            break;
        case 2:
            drain(index);
            break;
        case 3:
            stop(index);
            break;
        case 4:
            beat(index);
            break;
        case 5:
            m_log.restore(1 + index % 3);
            break;
        case 6:
            m_log.compact();
            break;
        case 7:
        case 8:
            if (isServed) {
                entry.call(m_log, topic);
            }
            break;
        case 9:
            if (isServed) {
                readUntilCurrent(index % entryCount);
            }
            break;
        case 10:
        case 11:
        case 12:
            entry.receive(topic);
            break;
        case 13:
            entry.loseAnswer(topic);
            break;
        case 14:
            entry.learnFrom(*m_entries[index / entryCount % entryCount]);
            break;
        case 15:
            entry.expireHolds();
            break;
        case 16:
            writeAgain();
            break;
        case 17:
            // The log executes an operator's earlier write late.
            m_log.append(declarations, configKey, std::to_string(m_version - 1 - argument % 3));
            break;
        default:
            restart(index % entryCount);
            break;
        }
        checkNothingWentBack();
    }

    /// Once the log is steady and everything has been written again, every entry agrees with what is.
    void checkConvergence()
    {
        writeAgain();
        for (std::size_t i = 0; i < entryCount; ++i) {
            if (i != refusedEntry) {
                readUntilCurrent(i);
            }
        }
        m_entries[refusedEntry]->learnFrom(*m_entries[0]);
        std::set<std::string> ready;
        for (const auto &[id, endpoint] : m_endpoints) {
            if (endpoint.isAlive && !endpoint.isDraining) {
                ready.insert(id);
            }
        }
        for (std::size_t i = 0; i < entryCount; ++i) {
            m_entries[i]->expireHolds();
            RC_ASSERT(m_entries[i]->version() == m_version);
            std::set<std::string> eligible;
            for (const auto &[id, state] : m_entries[i]->eligible()) {
                eligible.insert(id);
            }
            RC_ASSERT(eligible == ready);
        }
        checkNothingWentBack();
    }

private:
    void declare()
    {
        m_log.append(declarations, configKey, std::to_string(m_version += 3));
    }

    simulated_endpoint &endpointAt(std::size_t index)
    {
        return m_endpoints["e" + std::to_string(index % 5)];
    }

    void write(std::size_t index)
    {
        auto &endpoint = endpointAt(index);
        ++endpoint.sequence;
        std::ostringstream out;
        out << endpoint.startedAt << ' ' << endpoint.sequence << ' ' << endpoint.isDraining << ' ' << endpoint.port;
        m_log.append(endpoints, "e" + std::to_string(index % 5), out.str());
    }

    void start(std::size_t index)
    {
        // Two endpoints share each port, one after the other.
        endpointAt(index) = {.startedAt = ++m_time, .isAlive = true, .port = static_cast<int>(index % 3)};
        write(index);
    }

    void drain(std::size_t index)
    {
        if (endpointAt(index).isAlive) {
            endpointAt(index).isDraining = true;
            write(index);
        }
    }

    void stop(std::size_t index)
    {
        if (endpointAt(index).isAlive) {
            endpointAt(index).isAlive = false;
            m_log.append(endpoints, "e" + std::to_string(index % 5), std::nullopt);
        }
    }

    void beat(std::size_t index)
    {
        if (endpointAt(index).isAlive) {
            write(index);
        }
    }

    /// What the operator and the live endpoints wrote is written again, and the records of others expire.
    void writeAgain()
    {
        const auto config = m_log.newest(declarations);
        if (config.empty() || std::stoll(*config.begin()->second.value) < m_version) {
            m_log.append(declarations, configKey, std::to_string(m_version));
        }
        for (std::size_t i = 0; i < 5; ++i) {
            if (endpointAt(i).isAlive) {
                write(i);
            } else if (m_log.newest(endpoints).contains("e" + std::to_string(i))) {
                m_log.append(endpoints, "e" + std::to_string(i), std::nullopt);
            }
        }
    }

    /// Starts an entry, which asks its peers before it is ready: the log may lack the declarations that are in force.
    void restart(std::size_t index)
    {
        m_entries[index] = std::make_unique<simulated_entry>();
        m_newestVersions[index] = -1;
        m_newestStates[index].clear();
        if (index != refusedEntry) {
            readUntilCurrent(index);
        }
        std::int64_t newestOfPeers = -1;
        for (const auto &peer : m_entries) {
            m_entries[index]->learnFrom(*peer);
            newestOfPeers = std::max(newestOfPeers, peer->version());
        }
        RC_ASSERT(m_entries[index]->version() == newestOfPeers);
    }

    void readUntilCurrent(std::size_t index)
    {
        // At most: an answer that names a new epoch, three pages of two of the five keys, and the records after them.
        constexpr int maxCalls = 6;
        auto &entry = *m_entries[index];
        for (const auto topic : {declarations, endpoints}) {
            entry.receive(topic);
            int calls = 0;
            const auto end = m_log.serve(topic, {}).page.end;
            while (entry.recordsOf(topic).next() != log_position{.epoch = m_log.epoch(), .offset = end}) {
                RC_ASSERT(++calls <= maxCalls);
                entry.call(m_log, topic);
                entry.receive(topic);
            }
        }
    }

    /// No entry goes back to older declarations or to an older state of an endpoint.
    void checkNothingWentBack()
    {
        for (std::size_t i = 0; i < entryCount; ++i) {
            RC_ASSERT(m_entries[i]->version() >= m_newestVersions[i]);
            m_newestVersions[i] = m_entries[i]->version();
            for (const auto &[id, state] : m_entries[i]->eligible()) {
                auto &newest = m_newestStates[i][id];
                RC_ASSERT(state >= newest);
                newest = state;
            }
        }
    }

    simulated_log m_log;
    std::array<std::unique_ptr<simulated_entry>, entryCount> m_entries;
    std::map<std::string, simulated_endpoint> m_endpoints;
    std::int64_t m_version = 0;
    std::int64_t m_time = 0;
    std::array<std::int64_t, entryCount> m_newestVersions{-1, -1, -1, -1};
    std::array<std::map<std::string, std::pair<std::int64_t, std::int64_t>>, entryCount> m_newestStates;
};

RC_GTEST_PROP(store_restore_property_test, NothingGoesBackAndAllEntriesConverge, ())
{
    constexpr int actions = 19;
    constexpr int maxArgument = 1000;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, actions), rc::gen::inRange(0, maxArgument)));
    restore_simulation simulation;
    for (const auto &[action, argument] : steps) {
        simulation.step(action, argument);
    }
    simulation.checkConvergence();
}

} // namespace
} // namespace wisteriashunt

// Tests that records of another writer, which may hold anything, are left out, and that those around them take effect.
#include "gateway_fixture.h"
#include "wisteriashunt/errors.h"

#include <rapidcheck/gtest.h>

namespace wisteriashunt::testing
{
namespace
{

using nlohmann::json;

/// Deeper than the stack of a process allows for calls of one function in itself.
constexpr std::size_t manyLevels = 200'000;

std::string nestedArrays(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string nestedObjects(std::size_t levels)
{
    std::string text;
    for (std::size_t i = 0; i < levels; ++i) {
        text += R"({"a":)";
    }
    return text + "1" + std::string(levels, '}');
}

json soundRecord(std::uint16_t port = 80)
{
    return {{"service", "s"},
            {"address", "127.0.0.1:" + std::to_string(port)},
            {"zone", "z"},
            {"version", "v1"},
            {"slots", 4},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"born", 1},
            {"sequence", 1}};
}

/// The record with the text in place of the value of a member, which may be added.
std::string with(json record, const std::string &member, const std::string &text)
{
    record[member] = "@";
    auto whole = record.dump();
    const std::string mark = "\"@\"";
    return whole.replace(whole.find(mark), mark.size(), text);
}

std::string endpointError(const std::string &key, const std::string &value)
{
    try {
        static_cast<void>(platform::makeRecordDecoders().endpoint(key, value));
        return "";
    } catch (const shunt_error &error) {
        return error.what();
    }
}

std::string declarationsError(const std::string &value)
{
    try {
        static_cast<void>(platform::makeRecordDecoders().declarations(value));
        return "";
    } catch (const shunt_error &error) {
        return error.what();
    }
}

// A declaration that was nested deeply ended every entry that read it.
TEST(odd_records_test, RefusesDeepNestingInEveryPlace)
{
    for (const auto &nested : {nestedArrays(manyLevels), nestedObjects(manyLevels)}) {
        for (const std::string member : {"limits", "routes", "services", "tenants", "version", "other"}) {
            EXPECT_NE(declarationsError(with(declarationsForTests(), member, nested)), "") << member;
        }
        for (const std::string member : {"engine", "autoscale", "name", "other"}) {
            EXPECT_NE(declarationsError(R"({"version":1,"services":[)" + with({{"name", "s"}}, member, nested) + "]}"), "") << member;
        }
        for (const std::string member : {"service", "slots", "born", "other"}) {
            EXPECT_NE(endpointError("i-1", with(soundRecord(), member, nested)), "") << member;
        }
        EXPECT_THROW(static_cast<void>(platform::makeLogDialect().readNewest(nested)), shunt_error);
        EXPECT_THROW(static_cast<void>(platform::makeLogDialect().readOffset(nested)), shunt_error);
    }
}

TEST(odd_records_test, TakesNestingThatIsNotDeepAndBracketsInTexts)
{
    EXPECT_EQ(endpointError("i-1", with(soundRecord(), "other", nestedArrays(60))), "");
    EXPECT_EQ(endpointError("i-1", with(soundRecord(), "other", "\"\\\"" + std::string(1000, '[') + "\"")), "");
}

// Numbers out of their type's range were accepted as others, which differ between machines.
TEST(odd_records_test, RefusesNumbersOutOfRange)
{
    for (const std::string number : {"1e300", "-1e300", "2147483647", "-5", "18446744073709551615", "9223372036854775808", "4.5", "1e-3", "true", "null"}) {
        EXPECT_NE(endpointError("i-1", with(soundRecord(), "slots", number)), "") << number;
        EXPECT_NE(declarationsError(R"({"version":1,"services":[{"name":"s","engine":{"slots":)" + number + "}}]}"), "") << number;
        if (number != "2147483647") {
            EXPECT_NE(endpointError("i-1", with(soundRecord(), "born", number)), "") << number;
            EXPECT_NE(endpointError("i-1", with(soundRecord(), "sequence", number)), "") << number;
            EXPECT_NE(declarationsError(with(declarationsForTests(), "version", number)), "") << number;
            EXPECT_NE(declarationsError(R"({"version":1,"limits":{"max_body_bytes":)" + number + "}}"), "") << number;
        }
    }
    for (const std::string number : {"1e300", "-1e300", "-5", "18446744073709551615"}) {
        EXPECT_NE(declarationsError(R"({"version":1,"limits":{"idle_timeout_ms":)" + number + "}}"), "") << number;
        auto declarations = declarationsForTests();
        const auto withRoute = [&](const std::string &member) {
            auto changed = declarations;
            changed["routes"] = json::array();
            return with(changed, "routes", "[" + with(declarations["routes"][0], member, number) + "]");
        };
        EXPECT_NE(declarationsError(withRoute("timeout_ms")), "") << number;
        EXPECT_NE(declarationsError(withRoute("max_attempts")), "") << number;
    }
}

TEST(odd_records_test, TakesWholeNumbersWithAFractionOfZero)
{
    EXPECT_EQ(platform::makeRecordDecoders().endpoint("i-1", with(soundRecord(), "slots", "32.0")).slots, 32);
}

TEST(odd_records_test, RefusesPortsAndTextsThatCannotBeUsed)
{
    for (const std::string address : {"1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:-1", "1.2.3.4:99999999999999999999", "1.2.3.4", "1.2.3:80", ""}) {
        EXPECT_NE(endpointError("i-1", with(soundRecord(), "address", json(address).dump())), "") << address;
    }
    for (const std::string member : {"service", "zone", "version"}) {
        EXPECT_NE(endpointError("i-1", with(soundRecord(), member, json(std::string(200'000, 'x')).dump())), "") << member;
        EXPECT_NE(endpointError("i-1", with(soundRecord(), member, "\"\xff\"")), "") << member;
    }
    for (const std::string id : {"", "a\r\nX-Tenant: other", "a b", "a\"", "\x7f", "\xc3\xa4"}) {
        EXPECT_NE(endpointError(id, soundRecord().dump()), "") << id;
    }
}

TEST(odd_records_test, SaysWhyInAShortText)
{
    EXPECT_LT(endpointError("i-1", with(soundRecord(), "state", json(std::string(200'000, 'x')).dump())).size(), 1000U);
    EXPECT_NE(endpointError("i-1", with(soundRecord(), "slots", "1e300")).find("slots: expected a whole number from 0 to"), std::string::npos);
}

TEST(odd_records_test, ARecordThatIsShorterThanItsKeyIsPassedOver)
{
    using namespace std::string_literals;
    const auto page =
        platform::makeLogDialect().readRecords("\0\0\0\0\0\0\0\x03"s + std::string(8, '\0') + "\0\0\0\0"s + "\0\0\0\x02\x09k"s + "\0\0\0\x03\x01kv"s, 0);
    ASSERT_EQ(page.records.size(), 3U);
    EXPECT_EQ(page.records[1], (keyed_record{.offset = 1}));
    EXPECT_EQ(page.records[2], (keyed_record{.key = "k", .value = "v", .offset = 2}));
}

/// A value of any type, mostly one at the edge of what its readers expect.
std::string oddValue()
{
    return *rc::gen::oneOf(
        rc::gen::element<std::string>(
            "null", "true", "[]", "{}", "\"\"", "-1", "0", "0.5", "1e19", "-1e300", "1e-300", "9223372036854775807", "\"\\u0000\"", "[[1]]"),
        rc::gen::map(rc::gen::arbitrary<std::int64_t>(), [](std::int64_t number) { return std::to_string(number); }),
        rc::gen::map(rc::gen::arbitrary<double>(), [](double number) { return json(number).dump(); }),
        rc::gen::map(rc::gen::container<std::string>(rc::gen::inRange<char>(32, 127)), [](const std::string &text) { return json(text).dump(); }));
}

RC_GTEST_PROP(odd_records, ARecordIsRefusedWithAReasonOrHoldsWhatCanBeUsed, ())
{
    auto text = soundRecord().dump();
    const auto changes = *rc::gen::inRange(1, 4);
    auto record = soundRecord();
    for (int i = 0; i < changes; ++i) {
        const auto member = *rc::gen::element<std::string>("service", "address", "zone", "version", "slots", "state", "born", "sequence", "other");
        text = with(record, member, oddValue());
        record = json::parse(text, nullptr, false);
        RC_PRE(record.is_object());
    }
    if (*rc::gen::arbitrary<bool>()) {
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
    }
    try {
        const auto endpoint = platform::makeRecordDecoders().endpoint("i-1", text);
        RC_ASSERT(endpoint.slots >= 0 && endpoint.slots <= 100'000);
        RC_ASSERT(endpoint.startedAtMilliseconds >= 0);
        RC_ASSERT(endpoint.sequence >= 0);
        RC_ASSERT(endpoint.address.port > 0);
        RC_ASSERT(endpoint.service.size() <= 255 && endpoint.softwareVersion.size() <= 255);
    } catch (const shunt_error &error) {
        RC_ASSERT(std::string_view(error.what()).size() < 2000U);
    }
}

/// Entries that read odd records among those of the endpoint that serves.
class odd_records_entry_test : public gateway_test
{
protected:
    void SetUp() override
    {
        m_endpoints.push_back(std::make_unique<loopback_server>([](const received_request &got) { return ok(got, "answer"); }));
    }

    void putOddRecords()
    {
        const auto odd = [this](const std::string &key, const std::optional<std::string> &value) { m_log.put("keyed.servers", key, value); };
        odd("deep", with(soundRecord(), "other", nestedArrays(manyLevels / 2)));
        odd("deep-slots", with(soundRecord(), "slots", nestedObjects(manyLevels / 10)));
        odd("large", with(soundRecord(), "slots", "1e300"));
        odd("port", with(soundRecord(), "address", "\"127.0.0.1:65536\""));
        odd("later", with(soundRecord(), "born", "253402300799999"));
        odd("a\r\nX-Tenant: other", soundRecord().dump());
        odd("", "{}");
        odd("empty", "");
        odd("bytes", "\x01\xff");
        odd("gone", std::nullopt);
        m_log.put("keyed.op", "config", with(declarationsForTests(), "limits", nestedArrays(manyLevels)));
        m_log.put("keyed.op", "config", with(declarationsForTests(), "version", "1e300"));
        m_log.put("keyed.op", "other", nestedArrays(manyLevels));
    }

    [[nodiscard]] bool isServed(const entry_ports &entry) const
    {
        return callOnceAt(entry.callers, request("/read/")).find("answer") != std::string::npos;
    }

    void waitUntilServed(const entry_ports &entry) const
    {
        for (int i = 0; i < 200 && !isServed(entry); ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(25));
        }
        EXPECT_TRUE(isServed(entry));
    }

    entry_ports m_other;
};

TEST_F(odd_records_entry_test, ServeWithOddRecordsFromBeforeTheirStartAndAfterARestart)
{
    putOddRecords();
    m_log.put("keyed.op", "config", declarationsForTests().dump());
    m_log.putEndpoint("e0", m_endpoints[0]->port());
    for (int start = 0; start < 2; ++start) {
        launch(settingsForTests(m_ports, m_log.port()));
        waitUntilReady(m_ports.readiness);
        waitUntilServed(m_ports);
        endEntries();
    }
}

// A deeply nested declaration ended all entries, again after each restart.
TEST_F(odd_records_entry_test, WaitForASoundDeclarationAfterAnOddOne)
{
    m_log.putEndpoint("e0", m_endpoints[0]->port());
    m_log.put("keyed.op", "config", with(declarationsForTests(), "limits", nestedArrays(manyLevels)));
    launch(settingsForTests(m_ports, m_log.port()));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    EXPECT_EQ(readinessStatus(m_ports.readiness), 503);
    m_log.put("keyed.op", "config", declarationsForTests().dump());
    waitUntilReady(m_ports.readiness);
    waitUntilServed(m_ports);
}

TEST_F(odd_records_entry_test, FollowTheListPastOddRecords)
{
    launch(settingsForTests(m_ports, m_log.port()));
    launch(settingsForTests(m_other, m_log.port(), {m_ports.control}));
    waitUntilReady(m_ports.readiness);
    waitUntilReady(m_other.readiness);
    putOddRecords();
    m_log.putEndpoint("e0", m_endpoints[0]->port());
    waitUntilServed(m_ports);
    waitUntilServed(m_other);
}

// Numbers of another writer ordered its record after all later ones of the endpoint.
TEST_F(odd_records_entry_test, ALaterSoundRecordUnderTheSameKeyTakesEffect)
{
    const auto unused = freePort();
    m_log.put("keyed.servers", "e0", with(soundRecord(unused), "born", "253402300799999"));
    launch(settingsForTests(m_ports, m_log.port()));
    waitUntilReady(m_ports.readiness);
    EXPECT_FALSE(isServed(m_ports));
    m_log.putEndpoint("e0", m_endpoints[0]->port());
    waitUntilServed(m_ports);
    m_log.put("keyed.servers", "e0", with(soundRecord(unused), "sequence", "9007199254740991"));
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    m_log.putEndpoint("e0", m_endpoints[0]->port());
    waitUntilServed(m_ports);
}

} // namespace
} // namespace wisteriashunt::testing

// Tests of routeRequest(): the class of an HTTP request, and the error kind of a request that has none.
#include "configuration/sha256.h"
#include "request/router.h"
#include "wisteriashunt/errors.h"

#include "support.h"

#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::makeClass;

class router_test : public ::testing::Test
{
protected:
    router_test()
    {
        auto chat = makeClass("chat", 2);
        chat.models = {"m"};
        auto deposits = makeClass("deposits", 1);
        deposits.services = {"booking"};
        deposits.nonIdempotent = {"POST /deposits"};
        m_state = testing::makeState({chat, deposits});
        m_state.workspaces["agency"].value = {.name = "agency", .keyHashes = {sha256Hex("secret")}, .classes = {}};
        m_state.workspaces["narrow"].value = {.name = "narrow", .keyHashes = {sha256Hex("other")}, .classes = {"chat"}};
    }

    static http_request chatRequest(const std::string &body, const std::string &key = "secret")
    {
        return {.method = "POST", .path = chatPath, .headers = {{"authorization", "Bearer " + key}}, .body = body};
    }

    error_kind failureOf(const http_request &request) const
    {
        try {
            static_cast<void>(routeRequest(m_state, request));
        } catch (const shunt_error &error) {
            return error.kind();
        }
        ADD_FAILURE() << "the request was routed";
        return error_kind::upstream_failed;
    }

    configuration_state m_state;
    std::string m_chat = R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]})";
};

TEST_F(router_test, RoutesAChatCompletionByItsModel)
{
    const auto routed = routeRequest(m_state, chatRequest(m_chat));
    EXPECT_EQ(routed.className, "chat");
    EXPECT_EQ(routed.workspaceName, "agency");
    EXPECT_TRUE(routed.streaming);
    EXPECT_TRUE(routed.idempotent);
}

TEST_F(router_test, MarksListedOperationsAsNonIdempotent)
{
    const http_request request{.method = "POST", .path = "/services/booking/deposits/confirm", .headers = {{"authorization", "Bearer secret"}}, .body = "{}"};
    const auto routed = routeRequest(m_state, request);
    EXPECT_EQ(routed.path, "/deposits/confirm");
    EXPECT_FALSE(routed.idempotent);
}

TEST_F(router_test, TreatsUnlistedServiceOperationsAsIdempotent)
{
    EXPECT_TRUE(
        routeRequest(m_state, {.method = "GET", .path = "/services/booking/dates", .headers = {{"authorization", "Bearer secret"}}, .body = {}}).idempotent);
}

TEST_F(router_test, RejectsAnUnknownApiKey)
{
    EXPECT_EQ(failureOf(chatRequest(m_chat, "wrong")), error_kind::unauthenticated);
}

TEST_F(router_test, RejectsAClassThatTheWorkspaceMayNotUse)
{
    EXPECT_EQ(failureOf({.method = "GET", .path = "/services/booking/x", .headers = {{"authorization", "Bearer other"}}, .body = {}}),
              error_kind::forbidden_class);
}

TEST_F(router_test, RejectsMalformedJson)
{
    EXPECT_EQ(failureOf(chatRequest("{")), error_kind::malformed_request);
    EXPECT_EQ(failureOf(chatRequest("[]")), error_kind::malformed_request);
    EXPECT_EQ(failureOf(chatRequest(R"({"model":1,"messages":[]})")), error_kind::malformed_request);
    EXPECT_EQ(failureOf(chatRequest(R"({"model":"m","messages":[1],"stream":"yes"})")), error_kind::malformed_request);
}

TEST_F(router_test, RejectsAnUnknownModel)
{
    EXPECT_EQ(failureOf(chatRequest(R"({"model":"x","messages":[1]})")), error_kind::unknown_class);
}

TEST_F(router_test, RejectsAnUnknownPath)
{
    EXPECT_EQ(failureOf({.method = "GET", .path = "/elsewhere", .headers = {{"authorization", "Bearer secret"}}, .body = {}}), error_kind::unknown_route);
}

TEST_F(router_test, RejectsRequestsBeforeAConfigurationIsRead)
{
    m_state.offset = 0;
    EXPECT_EQ(failureOf(chatRequest(m_chat)), error_kind::not_ready);
}

} // namespace
} // namespace wisteriashunt

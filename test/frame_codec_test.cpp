// Tests that every message is unchanged by encoding and decoding, and that malformed frames are rejected.
#include "transport/frame_codec.h"
#include "wisteriashunt/errors.h"

#include "support.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wisteriashunt
{
namespace
{

using testing::makeAttempt;

error_kind decodeError(const std::string &bytes)
{
    frame_decoder decoder;
    try {
        decoder.feed(bytes);
    } catch (const shunt_error &error) {
        return error.kind();
    }
    return error_kind::unknown_route;
}

TEST(frame_codec_test, RoundTripsEveryMessage)
{
    const std::vector<message> messages{hello{.instance = "a", .incarnation = 1, .keyName = "k", .nonce = "n"},
                                        welcome{.instance = "b", .endpointName = "e"},
                                        hello_proof{.proof = "p"},
                                        heartbeat{.configuration = 4, .leaving = true, .running = 2, .limit = 3, .waiting = {1, 2, 3}},
                                        reserve{.id = makeAttempt(1), .className = "c", .workspaceName = "w", .waitedMicroseconds = -5},
                                        withdraw{.id = makeAttempt(1), .reason = 2},
                                        start{.id = makeAttempt(1), .body = std::string("\0x", 2), .resumeFrom = 9},
                                        cancel{.id = makeAttempt(2)},
                                        fate_query{.id = makeAttempt(3), .endpointIncarnation = 8},
                                        queued{.id = makeAttempt(1)},
                                        offer{.id = makeAttempt(1), .endpointIncarnation = 5},
                                        refused{.id = makeAttempt(1), .kind = 3, .retryAfterMicroseconds = 7},
                                        chunk{.id = makeAttempt(1), .offset = 2, .events = 1, .data = "d"},
                                        finished{.id = makeAttempt(1), .httpStatus = 200, .contentType = "t", .body = "b", .events = 4},
                                        failed{.id = makeAttempt(1), .detail = "x"},
                                        fate_answer{.id = makeAttempt(1), .state = 2, .outcome = {}},
                                        configuration_update{.snapshot = "{}"}};
    ASSERT_EQ(messages.size(), std::variant_size_v<message>);
    for (const auto &content : messages) {
        frame_decoder decoder;
        const auto decoded = decoder.feed(encodeFrame(content));
        ASSERT_EQ(decoded.size(), 1U);
        EXPECT_EQ(decoded[0], content) << "message number " << content.index();
    }
}

TEST(frame_codec_test, ReassemblesFramesThatArriveByteByByte)
{
    const std::string bytes = encodeFrame(cancel{.id = makeAttempt(1)}) + encodeFrame(cancel{.id = makeAttempt(2)});
    frame_decoder decoder;
    std::size_t count = 0;
    for (const char byte : bytes) {
        count += decoder.feed(std::string_view(&byte, 1)).size();
    }
    EXPECT_EQ(count, 2U);
}

TEST(frame_codec_test, RejectsAnOversizedFrame)
{
    EXPECT_EQ(decodeError(std::string("\xff\xff\xff\xff", 4)), error_kind::malformed_frame);
}

TEST(frame_codec_test, RejectsAnUnknownMessageNumber)
{
    // Message number 99 with no members.
    EXPECT_EQ(decodeError(std::string("\0\0\0\3\x92\x63\x90", 7)), error_kind::malformed_frame);
}

TEST(frame_codec_test, RejectsFieldsOfTheWrongType)
{
    // Message number 7, `cancel`, with a string in place of the attempt identifier.
    EXPECT_EQ(decodeError(std::string("\0\0\0\5\x92\x07\x91\xa1x", 9)), error_kind::malformed_frame);
}

RC_GTEST_PROP(frame_codec_property, NeverCrashesOnArbitraryBytes, (const std::vector<std::uint8_t> &bytes))
{
    std::string frame("\0\0\0", 3);
    frame.push_back(static_cast<char>(bytes.size() & 0x7fU));
    frame.append(bytes.begin(), bytes.end());
    frame_decoder decoder;
    try {
        decoder.feed(frame);
    } catch (const shunt_error &error) {
        RC_ASSERT(error.kind() == error_kind::malformed_frame);
    }
}

} // namespace
} // namespace wisteriashunt

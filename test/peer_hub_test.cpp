// Tests the handshake between processes, the rejection of a wrong key and the exclusive use of a port.
#include "transport/peer_hub.h"
#include "wisteriashunt/errors.h"

#include "support.h"

#include <absl/synchronization/notification.h>
#include <gtest/gtest.h>

namespace wisteriashunt
{
namespace
{

constexpr int port = 18731;

/// A hub that records its first event of each type.
class test_hub
{
public:
    test_hub(const std::string &instance, const std::vector<peer_key> &keys, int listenPort)
        : m_hub(peer_hub_options{.self = {.instance = instance, .endpointName = listenPort != 0 ? "e1" : "", .incarnation = 3},
                                 .keys = keys,
                                 .listen = {.host = "127.0.0.1", .port = listenPort},
                                 .deliver =
                                     [this](hub_event &event) {
                                         recordEvent(event);
                                         return true;
                                     }},
                m_clock)
    {
        m_hub.start();
    }

    void dial()
    {
        m_hub.setTargets({{.host = "127.0.0.1", .port = port}});
    }

    absl::Notification m_isUp;
    absl::Notification m_isRejected;
    absl::Notification m_hasReceived;
    peer_id m_peer = 0;
    peer_identity m_identity;
    message m_content;

    peer_hub &hub()
    {
        return m_hub;
    }

private:
    void recordEvent(hub_event &event)
    {
        if (event.type == hub_event::event_type::up && !m_isUp.HasBeenNotified()) {
            m_peer = event.peer;
            m_identity = event.identity;
            m_isUp.Notify();
        } else if (event.type == hub_event::event_type::rejected && !m_isRejected.HasBeenNotified()) {
            m_isRejected.Notify();
        } else if (event.type == hub_event::event_type::received && !m_hasReceived.HasBeenNotified()) {
            m_content = event.content;
            m_hasReceived.Notify();
        }
    }

    anchored_clock m_clock;
    peer_hub m_hub;
};

const std::vector<peer_key> oldKey{{.name = "old", .secret = "secret-of-the-old-key"}};
const std::vector<peer_key> rotatedKeys{{.name = "new", .secret = "secret-of-the-new-key"}, {.name = "old", .secret = "secret-of-the-old-key"}};

TEST(peer_hub_test, ConnectsAndCarriesMessages)
{
    test_hub acceptor("endpoint-a", oldKey, port);
    test_hub dialler("entry-a", oldKey, 0);
    dialler.dial();
    dialler.m_isUp.WaitForNotification();
    EXPECT_EQ(dialler.m_identity.endpointName, "e1");
    dialler.hub().send(dialler.m_peer, queued{.id = testing::makeAttempt(4)});
    acceptor.m_hasReceived.WaitForNotification();
    EXPECT_EQ(acceptor.m_content, message(queued{.id = testing::makeAttempt(4)}));
}

TEST(peer_hub_test, RefusesAPeerWithAnotherSecret)
{
    test_hub acceptor("endpoint-a", oldKey, port);
    test_hub dialler("entry-a", {{.name = "old", .secret = "a-secret-that-is-wrong"}}, 0);
    dialler.dial();
    dialler.m_isRejected.WaitForNotification();
    EXPECT_FALSE(dialler.m_isUp.HasBeenNotified());
    EXPECT_FALSE(acceptor.m_isUp.HasBeenNotified());
}

TEST(peer_hub_test, AcceptsBothKeysDuringARotation)
{
    test_hub acceptor("endpoint-a", rotatedKeys, port);
    test_hub before("entry-a", oldKey, 0);
    test_hub after("entry-b", rotatedKeys, 0);
    before.dial();
    after.dial();
    before.m_isUp.WaitForNotification();
    after.m_isUp.WaitForNotification();
}

TEST(peer_hub_test, RejectsASecondProcessOnTheSamePort)
{
    test_hub acceptor("endpoint-a", oldKey, port);
    EXPECT_THROW(test_hub("endpoint-b", oldKey, port), shunt_error);
}

} // namespace
} // namespace wisteriashunt

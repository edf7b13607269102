/// A UDP socket on the event loop.
#pragma once

#include "net/byte_channel.h"

#include <functional>
#include <string_view>

namespace wisteriashunt
{

/// Sends and receives datagrams. Lost datagrams are not retransmitted.
class datagram_socket final : public io_handler
{
public:
    /// Receives each datagram. The bytes are valid only during the call.
    using receive_hook = std::function<void(const socket_address &from, std::string_view bytes)>;

    /// Throws shunt_error(not_ready) if the address cannot be bound.
    datagram_socket(event_loop &loop, const socket_address &address, receive_hook onReceive);
    ~datagram_socket() override;
    datagram_socket(const datagram_socket &) = delete;
    datagram_socket &operator=(const datagram_socket &) = delete;

    /// Sends one datagram. Returns false if the kernel did not accept it.
    bool send(const socket_address &to, std::string_view bytes);

    void onReady(std::uint32_t events) override;

private:
    event_loop &m_loop;
    int m_descriptor;
    receive_hook m_onReceive;
};

} // namespace wisteriashunt

#include "standins/relay/Relay.h"

#include <map>

namespace standins {

namespace {

using asio::ip::udp;

udp::endpoint toUdp(const tcp::endpoint& endpoint) { return { endpoint.address(), endpoint.port() }; }

/// Relays datagrams. Uses a separate socket to the target for each sender, so that responses reach the right sender.
class UdpLink : public Link {
public:
    UdpLink(
        asio::io_context& io, std::string name, const udp::endpoint& listen, udp::endpoint target, std::uint64_t seed)
        : Link(std::move(name), seed)
        , m_io(io)
        , m_socket(io, listen)
        , m_target(std::move(target))
        , m_responseDelayQueue(io)
    {
        receive();
    }

    LinkCounts counts() const override { return m_counts; }

private:
    /// Traffic of one sender.
    struct Flow {
        udp::socket socket;
        DelayQueue delayQueue; // towards the target
        std::array<char, 65536> buffer {};
    };

    void receive()
    {
        m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](asio::error_code ec, std::size_t n) {
            if (ec == asio::error::operation_aborted)
                return;
            if (!ec && !shouldDrop())
                forward(std::string(m_buffer.data(), n));
            receive();
        });
    }

    void forward(std::string data)
    {
        auto& flow = m_flows[m_sender];
        if (!flow) {
            flow = std::make_unique<Flow>(
                Flow { udp::socket(m_io, udp::endpoint(m_target.protocol(), 0)), DelayQueue(m_io) });
            receiveResponse(*flow, m_sender);
        }
        flow->delayQueue.push(std::move(data), drawDelay(), [this, it = flow.get()](const std::string& datagram) {
            asio::error_code ec;
            it->socket.send_to(asio::buffer(datagram), m_target, 0, ec);
            ++m_counts.datagrams;
        });
    }

    void receiveResponse(Flow& flow, const udp::endpoint& sender)
    {
        flow.socket.async_receive(asio::buffer(flow.buffer), [this, &flow, sender](asio::error_code ec, std::size_t n) {
            if (ec == asio::error::operation_aborted)
                return;
            if (!ec && !shouldDrop())
                m_responseDelayQueue.push(
                    std::string(flow.buffer.data(), n), drawDelay(), [this, sender](const std::string& datagram) {
                        asio::error_code ignored;
                        m_socket.send_to(asio::buffer(datagram), sender, 0, ignored);
                        ++m_counts.datagrams;
                    });
            receiveResponse(flow, sender);
        });
    }

    /// Returns whether to drop a datagram, and counts it if so: always if the link is cut or silent, else at random.
    bool shouldDrop()
    {
        const bool dropped = faults().isCut || faults().isSilent || drawDrop();
        m_counts.dropped += dropped;
        return dropped;
    }

    asio::io_context& m_io;
    udp::socket m_socket;
    udp::endpoint m_target;
    udp::endpoint m_sender; // of the last received datagram
    std::array<char, 65536> m_buffer {};
    DelayQueue m_responseDelayQueue; // from the target, of all flows
    std::map<udp::endpoint, std::unique_ptr<Flow>> m_flows;
    LinkCounts m_counts;
};

} // namespace

std::unique_ptr<Link> makeUdpLink(
    asio::io_context& io, std::string name, const std::string& listen, const std::string& target, std::uint64_t seed)
{
    return std::make_unique<UdpLink>(
        io, std::move(name), toUdp(parseEndpoint(listen)), toUdp(parseEndpoint(target)), seed);
}

} // namespace standins

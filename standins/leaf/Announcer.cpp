#include "standins/leaf/Announcer.h"

#include "citronplank.h"

namespace standins {

namespace {
// Timeout of one attempt. Allows three attempts within the 2 s after which an announcement expires.
constexpr std::chrono::milliseconds announceTimeout { 400 };
} // namespace

Announcer::Announcer(asio::io_context& io, Leaf& leaf, std::vector<tcp::endpoint> addresses, std::size_t firstAddress)
    : m_io(io)
    , m_leaf(leaf)
    , m_addresses(std::move(addresses))
    , m_current(m_addresses.empty() ? 0 : firstAddress % m_addresses.size())
    , m_timer(io)
{
}

void Announcer::start(std::chrono::milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](asio::error_code ec) {
        if (ec)
            return;
        announce();
        start(citronplank::announcementInterval);
    });
}

void Announcer::announce()
{
    if (m_leaf.isAnnouncing() && !m_addresses.empty())
        send(std::make_shared<const std::string>(m_leaf.nextAnnouncement()), m_addresses.size());
}

void Announcer::send(const std::shared_ptr<const std::string>& body, std::size_t attemptsLeft)
{
    // The administration port uses one thread per open connection, so connections are not kept alive.
    const auto client = std::make_shared<HttpClient>(m_io, m_addresses[m_current]);
    client->request("POST", "/announce", "Connection: close\r\nContent-Type: application/json\r\n", *body,
        announceTimeout, [this, body, attemptsLeft, current = m_current](const HttpResult& result) {
            if (result.response.status == 200)
                return;
            if (m_current == current)
                m_current = (m_current + 1) % m_addresses.size();
            if (attemptsLeft > 1)
                send(body, attemptsLeft - 1);
            else
                ++m_failures;
        });
}

} // namespace standins

#include "standins/relay/Relay.h"

namespace standins {

void DelayLine::push(std::string data, double ms, Release release)
{
    using Clock = std::chrono::steady_clock;
    auto at = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(ms));
    if (!m_pieces.empty() && at < m_pieces.back().at)
        at = m_pieces.back().at;
    m_pieces.push_back({ at, std::move(data), std::move(release) });
    if (m_pieces.size() == 1)
        wait();
}

void DelayLine::clear()
{
    m_pieces.clear();
    m_timer.cancel();
}

void DelayLine::wait()
{
    m_timer.expires_at(m_pieces.front().at);
    // A release may end the connection that this line belongs to.
    m_timer.async_wait([this, life = std::weak_ptr(m_life)](asio::error_code ec) {
        if (ec || life.expired())
            return;
        const auto now = std::chrono::steady_clock::now();
        while (!m_pieces.empty() && m_pieces.front().at <= now) {
            auto piece = std::move(m_pieces.front());
            m_pieces.pop_front();
            piece.release(std::move(piece.data));
            if (life.expired())
                return;
        }
        if (!m_pieces.empty())
            wait();
    });
}

} // namespace standins

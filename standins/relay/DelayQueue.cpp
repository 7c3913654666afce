#include "standins/relay/Relay.h"

namespace standins {

void DelayQueue::push(std::string data, double delayMs, Deliver deliver)
{
    using Clock = std::chrono::steady_clock;
    auto at = Clock::now()
        + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(delayMs));
    if (!m_queue.empty() && at < m_queue.back().at)
        at = m_queue.back().at;
    m_queue.push_back({ at, std::move(data), std::move(deliver) });
    if (m_queue.size() == 1)
        scheduleDelivery();
}

void DelayQueue::clear()
{
    m_queue.clear();
    m_timer.cancel();
}

void DelayQueue::scheduleDelivery()
{
    m_timer.expires_at(m_queue.front().at);
    // `deliver` may destroy this queue, for example by closing the connection that owns it.
    m_timer.async_wait([this, lifetimeToken = std::weak_ptr(m_lifetimeToken)](asio::error_code ec) {
        if (ec || lifetimeToken.expired())
            return;
        const auto now = std::chrono::steady_clock::now();
        while (!m_queue.empty() && m_queue.front().at <= now) {
            auto item = std::move(m_queue.front());
            m_queue.pop_front();
            item.deliver(std::move(item.data));
            if (lifetimeToken.expired())
                return;
        }
        if (!m_queue.empty())
            scheduleDelivery();
    });
}

} // namespace standins

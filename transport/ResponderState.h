#pragma once

#include "transport/HttpServer.h"

#include <asio.hpp>
#include <mutex>

namespace citronplank {

/// State shared by all copies of a Responder. Thread safe.
class Responder::State {
public:
    using Strand = asio::strand<asio::io_context::executor_type>;
    using Send = std::function<void(HttpResponse)>;
    using Check = std::function<bool()>;

    /// `send` is called at most once, without holding the lock. `isCallerWaiting` is called on `strand`, to which
    /// callbacks are posted.
    State(Strand strand, Send send, Check isCallerWaiting)
        : m_strand(std::move(strand))
        , m_send(std::move(send))
        , m_isCallerWaiting(std::move(isCallerWaiting))
    {
    }
    ~State()
    {
        if (!m_answered && !m_disconnected)
            m_send(errorResponse(ErrorKind::Internal, "the request was dropped without a response"));
    }
    State(const State&) = delete;
    State& operator=(const State&) = delete;

    bool answer(HttpResponse answer)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_answered || m_disconnected)
                return false;
            m_answered = true;
            m_onDisconnected = nullptr;
        }
        m_send(std::move(answer));
        return true;
    }
    void setOnDisconnected(std::function<void()> callback)
    {
        const std::lock_guard lock(m_mutex);
        if (m_disconnected && !m_answered)
            asio::post(m_strand, std::move(callback));
        else if (!m_answered)
            m_onDisconnected = std::move(callback);
    }
    /// Called when the caller's connection has ended. Posts the callback to the strand.
    void callerDisconnected()
    {
        const std::lock_guard lock(m_mutex);
        m_disconnected = true;
        if (m_onDisconnected && !m_answered)
            asio::post(m_strand, std::move(m_onDisconnected));
        m_onDisconnected = nullptr;
    }
    void checkCaller(std::function<void(bool)> done)
    {
        asio::post(m_strand, [isWaiting = m_isCallerWaiting, done = std::move(done)] { done(isWaiting()); });
    }
    bool isDisconnected()
    {
        const std::lock_guard lock(m_mutex);
        return m_disconnected;
    }

private:
    std::mutex m_mutex;
    Strand m_strand;
    Send m_send;
    Check m_isCallerWaiting;
    bool m_answered = false;
    bool m_disconnected = false;
    std::function<void()> m_onDisconnected;
};

/// Compares ASCII text without regard to case. Thread safe.
bool equalsIgnoringCase(std::string_view, std::string_view);

} // namespace citronplank

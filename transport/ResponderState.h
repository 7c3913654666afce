#pragma once

#include "transport/HttpServer.h"

#include <asio.hpp>
#include <mutex>

namespace citronplank {

/// What the copies of one responder share. Every method is thread safe.
class Responder::State {
public:
    using Strand = asio::strand<asio::io_context::executor_type>;
    using Send = std::function<void(HttpResponse)>;

    State(Strand strand, Send send)
        : m_strand(std::move(strand))
        , m_send(std::move(send))
    {
    }
    ~State()
    {
        if (!m_answered && !m_gone)
            m_send(errorResponse(ErrorKind::Internal, "the request was dropped without an answer"));
    }
    State(const State&) = delete;
    State& operator=(const State&) = delete;

    bool answer(HttpResponse answer)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_answered || m_gone)
                return false;
            m_answered = true;
            m_onGone = nullptr;
        }
        m_send(std::move(answer));
        return true;
    }
    void setOnGone(std::function<void()> callback)
    {
        const std::lock_guard lock(m_mutex);
        if (m_gone && !m_answered)
            asio::post(m_strand, std::move(callback));
        else if (!m_answered)
            m_onGone = std::move(callback);
    }
    /// The caller's connection has ended. Runs the callback on the strand.
    void callerGone()
    {
        const std::lock_guard lock(m_mutex);
        m_gone = true;
        if (m_onGone && !m_answered)
            asio::post(m_strand, std::move(m_onGone));
        m_onGone = nullptr;
    }
    bool isGone()
    {
        const std::lock_guard lock(m_mutex);
        return m_gone;
    }

private:
    std::mutex m_mutex;
    Strand m_strand;
    Send m_send;
    bool m_answered = false;
    bool m_gone = false;
    std::function<void()> m_onGone;
};

/// Compares header names and values. Thread safe.
bool equalsIgnoringCase(std::string_view, std::string_view);

} // namespace citronplank

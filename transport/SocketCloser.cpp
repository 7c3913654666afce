#include "transport/SocketCloser.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace citronplank {

namespace {

struct Job {
    nng_socket socket {};
    bool done = false;
};

class SocketCloser {
public:
    SocketCloser()
    {
        std::thread([this] { run(); }).detach();
    }

    bool close(nng_socket socket, milliseconds limit)
    {
        const auto job = std::make_shared<Job>(Job { socket });
        std::unique_lock lock(m_mutex);
        m_jobs.push_back(job);
        m_changed.notify_all();
        return m_changed.wait_for(lock, limit, [&] { return job->done; });
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            m_changed.wait(lock, [this] { return !m_jobs.empty(); });
            const std::shared_ptr<Job> job = m_jobs.front();
            m_jobs.pop_front();
            lock.unlock();
            nng_close(job->socket);
            lock.lock();
            job->done = true;
            m_changed.notify_all();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::shared_ptr<Job>> m_jobs;
};

} // namespace

bool closeSocket(nng_socket socket, milliseconds limit)
{
    // Never destroyed because its thread may block in nng_close until the process exits.
    static auto* closer = new SocketCloser;
    return closer->close(socket, limit);
}

} // namespace citronplank

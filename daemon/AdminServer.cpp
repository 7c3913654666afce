#include "daemon/AdminServer.h"

#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace citronplank {

namespace {

/// A pool whose queue has a bound. A full queue makes the accepting thread wait; a task cannot be dropped, because it
/// owns a socket.
class BoundedPool : public httplib::TaskQueue {
public:
    BoundedPool(std::size_t threads, std::size_t maxQueued)
        : m_maxQueued(maxQueued)
    {
        for (std::size_t i = 0; i < threads; ++i)
            m_threads.emplace_back([this] { run(); });
    }

    void enqueue(std::function<void()> task) override
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_tasks.size() < m_maxQueued; });
        m_tasks.push_back(std::move(task));
        m_changed.notify_all();
    }

    void shutdown() override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_ended = true;
        }
        m_changed.notify_all();
        for (auto& it : m_threads)
            it.join();
    }

private:
    void run()
    {
        while (true) {
            std::function<void()> task;
            {
                std::unique_lock lock(m_mutex);
                m_changed.wait(lock, [this] { return !m_tasks.empty() || m_ended; });
                if (m_tasks.empty())
                    return;
                task = std::move(m_tasks.front());
                m_tasks.pop_front();
            }
            m_changed.notify_all();
            task();
        }
    }

    std::size_t m_maxQueued;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    bool m_ended = false;
    std::vector<std::thread> m_threads;
};

void reply(httplib::Response& response, const HttpResponse& answer)
{
    response.status = answer.status;
    response.set_content(answer.body, answer.contentType);
}

template <typename Call>
void serve(httplib::Response& response, Call call)
{
    try {
        reply(response, call());
    } catch (const Error& error) {
        reply(response, errorResponse(error.kind(), error.what()));
    } catch (const std::exception& error) {
        reply(response, errorResponse(ErrorKind::Internal, error.what()));
    }
}

} // namespace

class AdminServer::Impl {
public:
    Impl(AdminServerSettings settings, AdminHandlers handlers)
        : m_settings(std::move(settings))
        , m_handlers(std::move(handlers))
    {
        configure();
        route();
        bind();
    }

    void start()
    {
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        // A stop before the listener runs would have no effect.
        while (!m_server.is_running())
            std::this_thread::sleep_for(milliseconds(1));
    }

    void stop()
    {
        const std::lock_guard lock(m_stopMutex);
        if (!m_thread.joinable())
            return;
        m_server.stop();
        m_thread.join();
    }

    const std::string& address() const { return m_address; }

private:
    void configure()
    {
        m_server.new_task_queue = [this] { return new BoundedPool(m_settings.threads, m_settings.maxQueued); };
        m_server.set_keep_alive_max_count(1);
        m_server.set_read_timeout(m_settings.readTimeout);
        m_server.set_write_timeout(m_settings.writeTimeout);
        m_server.set_payload_max_length(m_settings.maxBodyBytes);
        // The default sets SO_REUSEPORT, with which two daemons share a port by mistake.
        m_server.set_socket_options([](socket_t socket) {
            const int on = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        });
        m_server.set_error_handler(httplib::Server::HandlerWithResponse(&Impl::answerFailure));
    }

    /// Gives a body to the answers that the library makes itself.
    static httplib::Server::HandlerResponse answerFailure(const httplib::Request&, httplib::Response& response)
    {
        if (!response.body.empty())
            return httplib::Server::HandlerResponse::Unhandled;
        const int status = response.status;
        if (status == errorAnswer(ErrorKind::RequestTooLarge).httpStatus)
            reply(response, errorResponse(ErrorKind::RequestTooLarge, "the body is too large"));
        else
            reply(response, errorResponse(ErrorKind::BadRequest, "no such page or method"));
        response.status = status;
        return httplib::Server::HandlerResponse::Handled;
    }

    void route()
    {
        get("/ready", m_handlers.ready);
        get("/status", m_handlers.status);
        get("/dump", m_handlers.dump);
        get("/metrics", m_handlers.metrics);
        m_server.Post("/announce", [this](const httplib::Request& request, httplib::Response& response) {
            serve(response, [&] { return m_handlers.announce(request.body); });
        });
    }

    void get(const char* path, const std::function<HttpResponse()>& handler)
    {
        m_server.Get(
            path, [&handler](const httplib::Request&, httplib::Response& response) { serve(response, handler); });
    }

    void bind()
    {
        const std::size_t colon = m_settings.address.rfind(':');
        const std::string host = m_settings.address.substr(0, colon);
        int port = colon == std::string::npos ? -1 : std::atoi(m_settings.address.c_str() + colon + 1);
        const bool bound
            = port == 0 ? (port = m_server.bind_to_any_port(host)) > 0 : port > 0 && m_server.bind_to_port(host, port);
        if (!bound)
            throw Error(ErrorKind::Internal, "cannot listen on " + m_settings.address);
        m_address = host + ":" + std::to_string(port);
    }

    AdminServerSettings m_settings;
    AdminHandlers m_handlers;
    httplib::Server m_server;
    std::string m_address;
    std::mutex m_stopMutex;
    std::thread m_thread;
};

AdminServer::AdminServer(AdminServerSettings settings, AdminHandlers handlers)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(handlers)))
{
}

AdminServer::~AdminServer() { stop(); }

void AdminServer::start() { m_impl->start(); }

void AdminServer::stop() { m_impl->stop(); }

std::string AdminServer::address() const { return m_impl->address(); }

} // namespace citronplank

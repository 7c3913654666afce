// Stand-in leaf of the scripted cases. It follows the platform's pages: announces itself, runs only requests that name
// it, echoes Request-Id and stamps its answers.
#pragma once

#include "Harness.h"

#include <atomic>
#include <functional>
#include <set>

namespace citronplank::review {

struct LeafRequest {
    std::string line; // method, target and version
    std::string id;
    std::string body;
};

/// Serves each connection on a thread of its own. Thread safe.
class Leaf {
public:
    using Handler = std::function<void(Leaf&, const LeafRequest&)>;

    /// `onRun` is called for each request that the leaf runs, before it answers. A leaf that is cold for `coldTime`
    /// says so in a first report that is acknowledged before it listens.
    Leaf(Record& record, Deployment& deployment, std::string name, std::string service, int zone, int host,
        Handler onRun = {}, milliseconds coldTime = milliseconds(0))
        : m_record(record)
        , m_deployment(deployment)
        , m_name(std::move(name))
        , m_service(std::move(service))
        , m_zone(Deployment::zoneName(zone))
        , m_address(deployment.leafAddress(zone, host))
        , m_onRun(std::move(onRun))
        , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , m_coldUntil(SteadyClock::now() + coldTime)
    {
        if (coldTime > milliseconds(0))
            announce();
        listen();
        m_threads.emplace_back([this] { acceptConnections(); });
        m_threads.emplace_back([this] { announceRegularly(); });
    }
    ~Leaf()
    {
        m_isStopping = true;
        for (auto& it : m_threads)
            it.join();
    }
    Leaf(const Leaf&) = delete;
    Leaf& operator=(const Leaf&) = delete;

    const std::string& name() const { return m_name; }
    const std::string& zone() const { return m_zone; }

private:
    void listen()
    {
        auto colon = m_address.rfind(':');
        sockaddr_in at {};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(std::stoi(m_address.substr(colon + 1))));
        inet_pton(AF_INET, m_address.substr(0, colon).c_str(), &at.sin_addr);
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        if (::bind(m_socket, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(m_socket, 128) != 0)
            throw std::runtime_error("cannot listen on " + m_address);
    }
    static bool isReadable(int fd)
    {
        pollfd it { fd, POLLIN, 0 };
        return ::poll(&it, 1, 50) > 0;
    }
    void acceptConnections()
    {
        std::vector<std::thread> connections;
        while (!m_isStopping) {
            if (!isReadable(m_socket))
                continue;
            auto fd = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                connections.emplace_back([this, fd] { serve(fd); });
        }
        ::close(m_socket);
        for (auto& it : connections)
            it.join();
    }
    void announceRegularly()
    {
        auto next = SteadyClock::now() + (m_sequence > 0 ? milliseconds(1200) : milliseconds(0));
        while (!m_isStopping) {
            if (SteadyClock::now() < next) {
                std::this_thread::sleep_for(milliseconds(20));
                continue;
            }
            next += milliseconds(1200);
            announce();
        }
    }
    void announce()
    {
        auto left = std::chrono::duration_cast<milliseconds>(m_coldUntil - SteadyClock::now()).count();
        nlohmann::json body { { "service", m_service }, { "address", m_address }, { "zone", m_zone },
            { "version", "v1" }, { "slots", 2 }, { "state", "ready" },
            { wireName("warmup"), std::max<std::int64_t>(0, left) }, { "seq", ++m_sequence }, { "born", m_born } };
        auto core = m_deployment.core();
        for (std::size_t i = 0; i < core.size() && !m_isStopping; ++i) {
            auto reply = request(m_deployment.controlAddress(*core[(m_coreIndex + i) % core.size()]), "PUT",
                "/-/instances/" + m_name, body.dump(), { { "Content-Type", "application/json" } });
            if (left > 0)
                m_record.line("leaf " + m_name + " reports that it is cold for " + std::to_string(left) + " ms -> "
                    + std::to_string(reply.status));
            if (reply.status == 200) {
                m_coreIndex += i;
                break;
            }
        }
    }
    void serve(int fd)
    {
        std::string input;
        std::array<char, 65536> buf {};
        while (!m_isStopping) {
            auto end = input.find("\r\n\r\n");
            auto length
                = end == std::string::npos ? 0 : std::stoul("0" + headerOf(input.substr(0, end), "content-length"));
            if (end == std::string::npos || input.size() < end + 4 + length) {
                if (!isReadable(fd))
                    continue;
                auto n = ::recv(fd, buf.data(), buf.size(), 0);
                if (n <= 0)
                    break;
                input.append(buf.data(), static_cast<std::size_t>(n));
                continue;
            }
            auto head = input.substr(0, end);
            LeafRequest request { head.substr(0, head.find("\r\n")), headerOf(head, "request-id"),
                input.substr(end + 4, length) };
            input.erase(0, end + 4 + length);
            auto answer = answerTo(head, request);
            if (::send(fd, answer.data(), answer.size(), MSG_NOSIGNAL) < 0)
                break;
        }
        ::close(fd);
    }
    std::string answerTo(const std::string& head, const LeafRequest& request)
    {
        auto line = "leaf " + m_name + " " + m_zone + " id=" + request.id;
        if (headerOf(head, wireName("leaf")) != m_name) {
            m_record.line(line + " answers 421");
            return "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request.id + "\r\nInstance-Id: " + m_name
                + "\r\nContent-Length: 0\r\n\r\n";
        }
        m_record.line(line + " runs " + request.line);
        if (m_onRun)
            m_onRun(*this, request);
        auto body = "answer of " + m_name + " to " + request.id;
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.id + "\r\n" + wireName("signature") + ": " + m_name + "."
            + request.id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    static std::string headerOf(const std::string& head, std::string_view name)
    {
        std::istringstream lines(head);
        for (std::string line; std::getline(lines, line);) {
            auto colon = line.find(':');
            if (colon != name.size() || strncasecmp(line.data(), name.data(), name.size()) != 0)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of(" \r") + 1);
            return value;
        }
        return {};
    }

    Record& m_record;
    Deployment& m_deployment;
    std::string m_name;
    std::string m_service;
    std::string m_zone;
    std::string m_address;
    Handler m_onRun;
    std::int64_t m_born;
    SteadyClock::time_point m_coldUntil;
    std::uint64_t m_sequence = 0; // of the last report
    std::size_t m_coreIndex = 0;
    int m_socket = -1;
    std::atomic<bool> m_isStopping { false };
    std::vector<std::thread> m_threads;
};

} // namespace citronplank::review

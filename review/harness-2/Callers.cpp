#include "review/harness-2/Callers.h"

#include <cstdlib>
#include <iostream>
#include <random>

namespace review {

Callers::Callers(std::vector<std::string> addresses, Record& record)
    : m_addresses(std::move(addresses))
    , m_record(record)
{
}

void Callers::start(std::string host, std::string target, std::string headers, double perSecond, milliseconds timeout)
{
    m_thread = std::thread(
        [this, host = std::move(host), target = std::move(target), headers = std::move(headers), perSecond, timeout] {
            std::vector<std::thread> threads;
            auto next = Clock::now();
            for (std::size_t i = 0; !m_stopped; ++i) {
                threads.emplace_back(
                    [this, &host, &target, &headers, timeout, address = m_addresses[i % m_addresses.size()]] {
                        sendOnce(address, host, target, headers, timeout);
                    });
                next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1 / perSecond));
                std::this_thread::sleep_until(next);
            }
            for (auto& it : threads)
                it.join();
        });
}

void Callers::stop()
{
    m_stopped = true;
    if (m_thread.joinable())
        m_thread.join();
}

std::vector<Call> Callers::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

Call Callers::sendOnce(const std::string& address, const std::string& host, const std::string& target,
    const std::string& headers, milliseconds timeout)
{
    thread_local std::mt19937_64 random { std::random_device {}() };
    Call call { std::to_string(random()), Clock::now() };
    auto text = "Host: " + host + "\r\nRequest-Id: " + call.id + "\r\nDeadline-Ms: " + std::to_string(timeout.count())
        + "\r\nConnection: close\r\n" + headers;
    m_record.add("caller sends " + call.id + " to " + address);
    auto response = request(address, "GET", target, text, "", timeout);
    call.status = response ? response->status : 0;
    m_record.add("caller gets status=" + std::to_string(call.status) + " for " + call.id);
    const std::lock_guard lock(m_mutex);
    m_calls.push_back(call);
    return call;
}

std::string configurationOf(int version, const std::string& service, int coldRate)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r-one","host":"one.example","path_prefix":"/one/","route_type":"idempotent",)"
        + R"("timeout_ms":1000,"target_latency_ms":200,"priority":1,"service":")" + service
        + R"(","max_attempts":2}],"services":[{"name":")" + service
        + R"(","health_path":"/health","max_connections":39,"protocol":"h1","tls":false,"warmup_s":3.0,)"
        + R"("warmup_per_s":)" + std::to_string(coldRate)
        + R"(.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
        + R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

int runCase(int argc, char** argv, const std::function<Verdict(Setup&)>& run)
{
    constexpr int argumentCount = 4;
    if (argc != argumentCount) {
        std::cerr << "usage: " << argv[0] << " ROOT FOLDER RECORD\n";
        return static_cast<int>(Verdict::CouldNotRun);
    }
    try {
        std::filesystem::path root(argv[1]);
        Names names(root / "review/harness-2/names.txt");
        Record record(argv[3]);
        const char* trouble = std::getenv("TROUBLE");
        Setup setup { root, argv[2], names, record, !trouble || std::string(trouble) != "0" };
        auto verdict = run(setup);
        record.add("verdict " + std::to_string(static_cast<int>(verdict)));
        return static_cast<int>(verdict);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return static_cast<int>(Verdict::CouldNotRun);
    }
}

std::pair<int, Clock::time_point> maxArrivalsWhileCold(const Leaf& leaf, const std::vector<Call>& calls)
{
    std::map<std::string, Clock::time_point> sentAt;
    for (const auto& it : calls)
        sentAt[it.id] = it.sentAt;
    std::pair<int, Clock::time_point> most { 0, {} };
    auto arrivals = leaf.arrivals();
    for (const auto& [from, until] : leaf.coldTimes()) {
        for (const auto& first : arrivals) {
            auto sent = sentAt.find(first.request);
            if (sent == sentAt.end() || first.at < from || first.at >= until)
                continue;
            int n = 0;
            for (const auto& it : arrivals) {
                auto itSent = sentAt.find(it.request);
                if (it.ran && itSent != sentAt.end() && itSent->second >= sent->second && it.at >= from && it.at < until
                    && it.at <= sent->second + std::chrono::seconds(1))
                    ++n;
            }
            if (n > most.first)
                most = { n, sent->second };
        }
    }
    return most;
}

} // namespace review

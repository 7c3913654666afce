// Case 12: the withdrawal of an evacuation gets no answer, the operator then orders the evacuation again, and the
// withdrawal takes effect after that order was acknowledged.
#include "../harness-3/Leaf.h"

namespace {

using namespace citronplank::review;

constexpr milliseconds answerTime { 1000 };   // operators wait a second for a response
constexpr milliseconds downTime { 950 };      // "back within a second"
constexpr milliseconds evacuateTime { 5000 }; // evacuate_ms
constexpr milliseconds outerTime { 12000 };   // outer_ms
constexpr milliseconds requestInterval { 40 };
constexpr seconds runTime { 112 };
constexpr int zoneOut = 1;

class Case {
public:
    explicit Case(Record& record)
        : m_record(record)
        , m_deployment(record, m_folder.path(), 1)
        , m_operator(record, m_deployment)
    {
    }

    int run()
    {
        auto end = SteadyClock::now() + runTime;
        m_deployment.startAll();
        nlohmann::json configuration { { "version", 1 },
            { "routes",
                { { { "name", "r-1" }, { "host", "pupu76.example" }, { "path_prefix", "/timi402/" },
                    { "route_type", "idempotent" }, { "timeout_ms", 10000 }, { "target_latency_ms", 600 },
                    { "priority", 2 }, { "service", "profile" }, { "max_attempts", 2 } } } },
            { "services",
                { { { "name", "profile" }, { "health_path", "/health" }, { "max_connections", 39 },
                    { "protocol", "h1" }, { "tls", false }, { "warmup_s", 3.0 }, { "warmup_per_s", 0.0 } } } },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                    { "idle_timeout_ms", 15000 } } } };
        if (!m_operator.put(configuration, seconds(20)))
            return couldNotRun;
        std::vector<std::unique_ptr<Leaf>> leaves;
        for (int zone = 1; zone <= 3; ++zone)
            leaves.push_back(std::make_unique<Leaf>(m_record, m_deployment, "i-" + std::to_string(zone), "profile",
                zone, zone, [this](Leaf& leaf, const LeafRequest&) { onRun(leaf); }));
        auto until = SteadyClock::now() + seconds(15);
        while (m_runsInZone == 0 && SteadyClock::now() < until)
            sendRequest();
        if (m_runsInZone == 0)
            return couldNotRun;
        auto confirmTime = evacuateTime + outerTime + seconds(2);
        while (SteadyClock::now() + confirmTime + seconds(4) < end) {
            auto result = playRound();
            if (result != ruleHeld)
                return result;
        }
        return ruleHeld;
    }

private:
    static std::string zonePath() { return "/-/evacuation/" + Deployment::zoneName(zoneOut); }

    void onRun(const Leaf& leaf)
    {
        if (leaf.zone() != Deployment::zoneName(zoneOut))
            return;
        ++m_runsInZone;
        m_lastRunInZone = SteadyClock::now();
    }

    /// Sends a request to the entry machine of the zone.
    void sendRequest()
    {
        auto id = "q" + std::to_string(++m_requests);
        auto reply = request(m_deployment.callerAddress(*m_deployment.entries()[0]), "GET", "/timi402/2f", {},
            { { "Host", "pupu76.example" }, { "Request-Id", id }, { "Deadline-Ms", "1000" } });
        m_record.line("caller " + id + " -> " + std::to_string(reply.status) + " " + reply.body);
        std::this_thread::sleep_for(requestInterval);
    }

    int playRound()
    {
        auto* first = m_deployment.waitForLeader(seconds(10));
        if (!first || !m_operator.order("POST", zonePath(), "", "", seconds(10)))
            return couldNotRun;
        std::this_thread::sleep_for(milliseconds(1500));
        std::vector<Machine*> others;
        for (auto* it : m_deployment.core()) {
            if (it != first)
                others.push_back(it);
        }
        auto& asked = *others[static_cast<std::size_t>(++m_round) % 2];
        auto& killed = *others[static_cast<std::size_t>(m_round + 1) % 2];
        if (hasTrouble()) {
            m_deployment.kill(*first);
            m_deployment.kill(killed);
        }
        auto back = SteadyClock::now() + downTime;
        auto reply = withdraw(asked, back, *first, killed);
        m_record.line("operator DELETE " + zonePath() + " at " + asked.ip + " -> " + std::to_string(reply.status)
            + (reply.status == 0 ? ": no answer in a second; it is not sent again" : ""));
        if (!m_operator.order("POST", zonePath(), "", "", seconds(15)))
            return couldNotRun;
        return observe(SteadyClock::now());
    }

    /// Orders the withdrawal at a machine, while the two others are down, and starts those when they are due.
    HttpReply withdraw(const Machine& asked, SteadyClock::time_point back, Machine& first, Machine& second)
    {
        HttpReply reply;
        std::thread order(
            [&] { reply = request(m_deployment.controlAddress(asked), "DELETE", zonePath(), "", {}, answerTime); });
        if (hasTrouble()) {
            std::this_thread::sleep_until(back);
            m_deployment.start(first, false);
            m_deployment.start(second, false);
        }
        order.join();
        return reply;
    }

    /// Sends requests after an evacuation was acknowledged that nobody has withdrawn since.
    int observe(SteadyClock::time_point acknowledged)
    {
        auto late = acknowledged + evacuateTime + outerTime;
        auto end = acknowledged + evacuateTime + milliseconds(500);
        while (SteadyClock::now() < end) {
            sendRequest();
            // A zone that still gets requests after evacuate_ms is watched until the stretched bound has passed.
            if (m_lastRunInZone.load() > acknowledged + evacuateTime)
                end = late + seconds(1);
        }
        if (m_lastRunInZone.load() <= late)
            return ruleHeld;
        m_record.note("leaf in " + Deployment::zoneName(zoneOut) + " runs requests "
            + std::to_string(std::chrono::duration_cast<milliseconds>(m_lastRunInZone.load() - acknowledged).count())
            + " ms after its evacuation was acknowledged; nobody has ordered a withdrawal since");
        return ruleBroken;
    }

    Record& m_record;
    RunFolder m_folder;
    Deployment m_deployment;
    Operator m_operator;
    std::atomic<int> m_runsInZone { 0 };
    std::atomic<SteadyClock::time_point> m_lastRunInZone { SteadyClock::time_point() };
    int m_requests = 0;
    int m_round = 0;
};

} // namespace

int main(int, char** argv)
{
    return runCase(argv[1], [](Record& record) { return Case(record).run(); });
}

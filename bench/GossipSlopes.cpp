// Prints a table of how the cost and delay of gossip scale with the number of members. Members run in one process with
// simulated time and 5% packet loss; the gossip item "freshness" changes every 500 ms, as in a real cluster.
//
//     bench_GossipSlopes [SIZE...]      default: 32 64 128 256 384
#include "tests/SimulatedGossip.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <malloc.h>

using namespace citronplank;

namespace {

/// Results for one number of members. Times are in seconds; -1: not reached within the time limit.
struct Row {
    std::size_t members = 0;
    double joinSeconds = -1;      // until each member knows all others
    double bytesPerSecond = 0;    // mean over the members
    double maxBytesPerSecond = 0; // of one member
    double itemMedian = -1;       // seconds until a changed item has reached all members
    double itemMax = -1;
    std::size_t itemsLate = 0;        // changes that did not reach all members within 60 s
    double lossDetectionSeconds = -1; // maximum over the trials, until all others consider the member dead
    std::size_t falseAlarms = 0;      // reports of a death while all members are running
    std::uint64_t suspicions = 0;     // while all members are running
    double cpuPercent = 0;            // of one core, per member
    double heapKib = 0;               // KiB of heap per member
};

constexpr int itemTrials = 40;     // changes of an item whose propagation is measured
constexpr int lossTrials = 5;      // members that are stopped one after the other
constexpr int leavesPerMember = 8; // 6,500 leaves on 860 daemons, rounded up

double cpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }
double asSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Measures one group of members. measure() may be called once.
class ScalingMeasurement {
public:
    explicit ScalingMeasurement(std::size_t members)
        : m_heapBefore(heapBytes())
        , m_group(members, 17, 0.05)
    {
        m_row.members = members;
    }

    Row measure()
    {
        join();
        publishLeaves();
        measureSteadyState();
        measureItems();
        measureLosses();
        return m_row;
    }

private:
    void publishFreshness()
    {
        m_group.processOutput(
            0, m_group.at(0).publish("freshness", std::to_string(++m_freshness) + "@1764844800000", m_group.now()));
    }

    // Advances the simulated time in steps of 500 ms, with a change of the freshness item at each.
    void run(Duration duration)
    {
        for (const auto end = m_group.now() + duration; m_group.now() < end;) {
            publishFreshness();
            m_group.run(milliseconds(500));
        }
    }

    void join()
    {
        const auto begin = m_group.now();
        const auto all = m_row.members;
        const auto limit = begin + seconds(600);
        while (m_group.now() < limit) {
            run(milliseconds(500));
            const bool isComplete = std::all_of(m_group.nodes().begin(), m_group.nodes().end(),
                [&](auto& node) { return node.gossip->members().size() == all; });
            if (isComplete) {
                m_row.joinSeconds = asSeconds(m_group.now() - begin);
                return;
            }
        }
    }

    // Publishes the items of all leaves and distributes them by bulk import, as a daemon imports them at its start.
    void publishLeaves()
    {
        for (std::size_t i = 0; i < m_row.members; ++i)
            for (int leaf = 0; leaf < leavesPerMember; ++leaf)
                m_group.at(i).publish("leaf/loandesk-" + std::to_string(i) + "-" + std::to_string(leaf),
                    std::string(110, 'x'), m_group.now());
        for (std::size_t i = 0; i < m_row.members; ++i)
            for (std::size_t j = 0; j < m_row.members; ++j)
                if (i != j)
                    m_group.at(j).importRecords(ownItems(i), m_group.now());
        run(seconds(240)); // until the updates of all these items have been disseminated
        m_row.heapKib = (heapBytes() - m_heapBefore) / 1024.0 / static_cast<double>(m_row.members);
    }

    // Returns the items that a member publishes, except its freshness, in the format for importRecords().
    std::string ownItems(std::size_t i)
    {
        std::string bytes;
        for (const auto& item : m_group.at(i).items())
            if (item.publisher == m_group.at(i).self().name && item.key != "freshness")
                bytes += encodeGossipRecord({ GossipRecordKind::Item, item.key, m_group.at(i).self().incarnation, 1,
                    itemPresent, item.publisher, item.payload });
        return bytes;
    }

    void measureSteadyState()
    {
        std::vector<std::uint64_t> before;
        for (auto& node : m_group.nodes())
            before.push_back(node.gossip->counters().bytesSent);
        const double cpuBefore = cpuSeconds();
        constexpr int steadySeconds = 60;
        run(seconds(steadySeconds));
        m_row.cpuPercent = 100 * (cpuSeconds() - cpuBefore) / steadySeconds / static_cast<double>(m_row.members);
        for (std::size_t i = 0; i < m_row.members; ++i) {
            const auto bytes = static_cast<double>(m_group.at(i).counters().bytesSent - before[i]) / steadySeconds;
            m_row.bytesPerSecond += bytes / static_cast<double>(m_row.members);
            m_row.maxBytesPerSecond = std::max(m_row.maxBytesPerSecond, bytes);
        }
    }

    void measureItems()
    {
        std::vector<double> times;
        for (int i = 0; i < itemTrials; ++i) {
            publishFreshness();
            const auto value = "v" + std::to_string(i);
            const auto from = static_cast<std::size_t>(i) % m_row.members;
            m_group.processOutput(from, m_group.at(from).publish("configuration", value, m_group.now()));
            const auto has = [&](Gossip& gossip) {
                const auto item = gossip.item("configuration");
                return item && item->payload == value;
            };
            if (const auto time = m_group.runUntil(has, seconds(60)))
                times.push_back(asSeconds(*time));
            else
                ++m_row.itemsLate;
            run(milliseconds(1500));
        }
        std::sort(times.begin(), times.end());
        if (!times.empty()) {
            m_row.itemMedian = times[times.size() / 2];
            m_row.itemMax = times.back();
        }
    }

    void measureLosses()
    {
        m_row.falseAlarms = countDeaths();
        for (auto& node : m_group.nodes())
            m_row.suspicions += node.gossip->counters().suspicions;
        for (int i = 0; i < lossTrials; ++i) {
            const std::size_t lost = 1 + static_cast<std::size_t>(i) * 3;
            const auto name = m_group.nodes()[lost].instance.name;
            m_group.stop(lost);
            const auto isKnownDead = [&](Gossip& gossip) {
                const auto status = gossip.statusOf(name);
                return status && *status == MemberStatus::Dead;
            };
            if (const auto time = m_group.runUntil(isKnownDead, seconds(120)))
                m_row.lossDetectionSeconds = std::max(m_row.lossDetectionSeconds, asSeconds(*time));
        }
    }

    // Number of reports, over all members, that some member is dead.
    std::size_t countDeaths()
    {
        std::size_t count = 0;
        for (const auto& node : m_group.nodes())
            count += static_cast<std::size_t>(std::count_if(node.events.begin(), node.events.end(),
                [](const MemberEvent& event) { return event.status == MemberStatus::Dead; }));
        return count;
    }

    double m_heapBefore;
    SimulatedGossip m_group;
    std::uint64_t m_freshness = 0;
    Row m_row;
};

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::size_t> sizes { 32, 64, 128, 256, 384 };
    if (argc > 1) {
        sizes.clear();
        for (int i = 1; i < argc; ++i)
            sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    }
    std::printf("# members  join_s  B/s_mean  B/s_max  item_p50_s  item_max_s  item_late  loss_known_s  false_alarms  "
                "suspicions  cpu_%%_of_core  memory_KB\n");
    for (const auto size : sizes) {
        const auto row = ScalingMeasurement(size).measure();
        std::printf("%9zu %7.1f %9.0f %8.0f %11.2f %11.2f %10zu %13.2f %13zu %11llu %14.3f %10.0f\n", row.members,
            row.joinSeconds, row.bytesPerSecond, row.maxBytesPerSecond, row.itemMedian, row.itemMax, row.itemsLate,
            row.lossDetectionSeconds, row.falseAlarms, static_cast<unsigned long long>(row.suspicions), row.cpuPercent,
            row.heapKib);
        std::fflush(stdout);
    }
    return 0;
}

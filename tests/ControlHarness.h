// Test harness that runs the members of a control log in one process, with disks in memory, a message queue with seeded
// random delays and losses instead of links, and simulated time.
#pragma once

#include "coordination/ControlReplica.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace citronplank::testing {

struct MemoryDisk {
    DiskIdentity identity = 0;
    StoredControl content;
    std::string snapshotData;
    bool failing = false; // every write throws
};

class MemoryStorage {
public:
    explicit MemoryStorage(std::shared_ptr<MemoryDisk> disk)
        : m_disk(std::move(disk))
    {
    }
    DiskIdentity disk() const { return m_disk->identity; }
    StoredControl load() const { return m_disk->content; }
    void saveVote(const VoteRecord& vote)
    {
        write();
        m_disk->content.vote = vote;
    }
    void append(std::span<const LogEntry> added)
    {
        write();
        auto& entries = m_disk->content.entries;
        while (!entries.empty() && entries.back().index >= added.front().index)
            entries.pop_back();
        entries.insert(entries.end(), added.begin(), added.end());
    }
    void saveSnapshot(const SnapshotHeader& header, std::string_view data)
    {
        write();
        m_disk->content.snapshot = header;
        m_disk->content.entries = entriesAfterSnapshot(std::move(m_disk->content.entries), header);
        m_disk->snapshotData = data;
    }
    std::string readSnapshotData() const { return m_disk->snapshotData; }

private:
    void write() const
    {
        if (m_disk->failing)
            throw StorageError("injected failure");
    }
    std::shared_ptr<MemoryDisk> m_disk;
};

using Replica = ControlReplica<MemoryStorage>;

class Cluster {
public:
    struct Node {
        std::shared_ptr<MemoryDisk> disk;
        std::unique_ptr<MemoryStorage> storage;
        std::unique_ptr<Replica> replica; // null: the process is down
        bool paused = false;              // the process is paused; its messages wait
        std::string failure;
    };

    Cluster(std::uint64_t seed, std::vector<std::string> names)
        : m_random(seed)
        , m_names(std::move(names))
    {
        configured = m_names;
        for (const auto& it : m_names)
            loseDisk(it);
    }

    std::uint64_t random(std::uint64_t n) { return m_random() % n; }
    const std::vector<std::string>& names() const { return m_names; }
    Node& node(const std::string& name) { return m_nodes[name]; }
    Replica& replica(const std::string& name) { return *m_nodes[name].replica; }
    std::uint64_t nowMs() const { return wallStartMs + elapsedMs(); }
    /// The applied entries of all members, by index.
    const std::map<std::uint64_t, AppliedEntry>& history() const { return m_history; }
    std::map<std::uint64_t, LocalAnswer>& answers() { return m_answers; }
    std::map<std::uint64_t, bool>& reads() { return m_reads; }

    std::vector<std::string> configured; // members in the settings of the nodes that start from now on
    std::size_t openVoterTarget = 0;     // above 0: open membership with that many voters
    std::uint64_t dropPercent = 0;
    std::uint64_t maxDelayMs = 5;
    std::uint64_t entriesPerSnapshot = 256;
    std::size_t smallSnapshotBytes = 1024UL * 1024;
    std::uint64_t entriesKeptInMemory = 512;
    std::vector<std::uint64_t> clusters; // identities of all clusters seen, each once

    void start(const std::string& name)
    {
        auto& it = m_nodes[name];
        it.storage = std::make_unique<MemoryStorage>(it.disk);
        ControlLogSettings settings { name, configured, m_random(), [](TimePoint at) {
                                         return wallStartMs
                                             + static_cast<std::uint64_t>((at - TimePoint()) / milliseconds(1));
                                     } };
        settings.entriesPerSnapshot = entriesPerSnapshot;
        settings.smallSnapshotBytes = smallSnapshotBytes;
        settings.entriesKeptInMemory = entriesKeptInMemory;
        settings.snapshotChunkBytes = 1000; // several chunks for each snapshot
        settings.openMembership = openVoterTarget > 0;
        settings.voterTarget = openVoterTarget;
        if (settings.openMembership)
            settings.firstElectionTimeout = milliseconds(200);
        it.replica = std::make_unique<Replica>(*it.storage, settings, m_now);
        it.paused = false;
        it.failure.clear();
    }
    void startAll()
    {
        for (const auto& it : m_names)
            resume(it);
    }
    void resume(const std::string& name)
    {
        m_nodes[name].paused = false;
        if (!m_nodes[name].replica)
            start(name);
    }
    void crash(const std::string& name) { m_nodes[name].replica.reset(); }
    void loseDisk(const std::string& name)
    {
        crash(name);
        m_nodes[name].disk = std::make_shared<MemoryDisk>(MemoryDisk { m_random() | 1, {}, {}, false });
    }
    void disconnect(const std::string& a, const std::string& b)
    {
        m_blockedLinks.insert({ a, b });
        m_blockedLinks.insert({ b, a });
    }
    void disconnectOneWay(const std::string& from, const std::string& to) { m_blockedLinks.insert({ from, to }); }
    void isolate(const std::string& name)
    {
        for (const auto& it : m_names)
            disconnect(name, it);
    }
    void restoreLinks() { m_blockedLinks.clear(); }
    /// Holds back the messages in flight until releaseMessages(); later ones are delivered as usual.
    void holdMessages() { m_held = std::exchange(m_queue, {}); }
    void releaseMessages() { m_queue.merge(m_held); }
    void transferLeadership(const std::string& name) { processOutput(name, replica(name).transferLeadership(m_now)); }

    std::uint64_t propose(const std::string& name, Command command)
    {
        auto id = ++m_lastId;
        replica(name).propose(std::move(command), id);
        processOutput(name, replica(name).flush(m_now));
        return id;
    }
    std::uint64_t read(const std::string& name)
    {
        auto id = ++m_lastId;
        processOutput(name, replica(name).confirmLeadership(id, m_now));
        return id;
    }

    /// The running leader with the greatest term, or an empty name.
    std::string leader()
    {
        std::string best;
        for (const auto& name : m_names) {
            if (!isUp(name) || !replica(name).log().isLeader())
                continue;
            if (best.empty() || replica(name).log().status().term > replica(best).log().status().term)
                best = name;
        }
        return best;
    }
    bool isUp(const std::string& name) { return m_nodes[name].replica && !m_nodes[name].paused; }

    void run(std::uint64_t ms)
    {
        for (std::uint64_t i = 0; i < ms / stepMs; ++i)
            step();
    }
    template <typename F>
    bool runUntil(F&& condition, std::uint64_t limitMs = 30'000)
    {
        for (std::uint64_t i = 0; i < limitMs / stepMs; ++i) {
            if (condition())
                return true;
            step();
        }
        return condition();
    }
    bool runUntilLeader()
    {
        return runUntil([&] { return !leader().empty(); });
    }
    bool runUntilRepaired()
    {
        return runUntil([&] { return !leader().empty() && replica(leader()).log().status().repairComplete; });
    }
    /// Whether the cluster must survive the loss of one more disk: the leader with the greatest term reports that the
    /// last repair is complete.
    bool isLossAllowed()
    {
        auto name = leader();
        if (name.empty())
            return false;
        auto status = replica(name).log().status();
        // The leader detects a loss with a delay, so the disks are compared with the voters as well.
        return status.repairComplete && std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& it) {
            const auto& disk = *it.second.disk;
            return disk.content.vote.term <= status.term && isVoter(status.membership, { it.first, disk.identity });
        });
    }
    /// Ends all faults, starts all members and requires them to reach the same state after a final committed command.
    void requireConvergence()
    {
        restoreLinks();
        dropPercent = 0;
        startAll();
        bool repaired = runUntilRepaired();
        std::string members;
        for (const auto& it : m_names)
            members += "\n" + describe(replica(it).log().status());
        CAPTURE(members);
        REQUIRE(repaired);
        std::uint64_t id = 0;
        REQUIRE(runUntil([&] {
            auto answer = m_answers.find(id);
            bool failed = answer != m_answers.end() && answer->second.status != ProposeStatus::Committed;
            if ((id == 0 || failed) && !leader().empty())
                id = propose(leader(), NoOp {});
            return m_answers.contains(id) && m_answers[id].status == ProposeStatus::Committed;
        }));
        auto last = m_answers[id].index;
        REQUIRE(runUntil([&] {
            return std::all_of(m_names.begin(), m_names.end(),
                [&](const std::string& it) { return replica(it).state().appliedIndex() >= last; });
        }));
        run(1000);
        for (const auto& it : m_names) {
            REQUIRE(replica(it).state().data() == replica(m_names.front()).state().data());
            REQUIRE(replica(it).log().status().membership == replica(m_names.front()).log().status().membership);
        }
        for (std::uint64_t i = 1; i <= last; ++i)
            REQUIRE(m_history.contains(i));
    }

private:
    struct QueuedMessage {
        std::string from;
        std::string to;
        std::string bytes;
    };
    static constexpr std::uint64_t stepMs = 5;
    static constexpr std::uint64_t wallStartMs = 1'700'000'000'000;

    std::uint64_t elapsedMs() const { return static_cast<std::uint64_t>((m_now - TimePoint()) / milliseconds(1)); }

    void step()
    {
        m_now += milliseconds(stepMs);
        for (auto it = m_queue.begin(); it != m_queue.end() && it->first.first <= m_now;) {
            if (m_nodes[it->second.to].paused) {
                ++it;
                continue;
            }
            auto message = std::move(it->second);
            it = m_queue.erase(it);
            if (!m_nodes[message.to].replica || m_blockedLinks.contains({ message.from, message.to }))
                continue;
            processOutput(
                message.to, replica(message.to).receive(message.from, decodeControlMessage(message.bytes), m_now));
        }
        for (const auto& it : m_names) {
            if (isUp(it))
                processOutput(it, replica(it).tick(m_now));
        }
    }

    void processOutput(const std::string& name, ReplicaOutput output)
    {
        for (auto& it : output.messages) {
            if (random(100) < dropPercent || m_blockedLinks.contains({ name, it.to }))
                continue;
            auto at = m_now + milliseconds(1 + random(maxDelayMs));
            m_queue.emplace(std::pair(at, ++m_sequence), QueuedMessage { name, it.to, encode(it.message) });
        }
        for (auto& it : output.applied) {
            auto [known, isNew] = m_history.emplace(it.entry.index, it);
            // The main safety property: no two members apply different entries at one index.
            REQUIRE(known->second.entry == it.entry);
            REQUIRE(known->second.result == it.result);
        }
        for (auto& it : output.answers) {
            REQUIRE(m_answers.emplace(it.id, it).second); // each proposal completes once
            if (it.status == ProposeStatus::Committed)
                REQUIRE(m_history.contains(it.index));
        }
        for (auto& it : output.reads)
            REQUIRE(m_reads.emplace(it.id, it.confirmed).second);
        if (!output.failure.empty())
            m_nodes[name].failure = output.failure;
        auto status = replica(name).log().status();
        // At most one leader in each term.
        if (status.role == ControlRole::Leader)
            REQUIRE(m_leaders.emplace(status.term, status.self).first->second == status.self);
        // Checked after each message, because the report must be true between two messages of one step as well.
        if (status.repairComplete) {
            REQUIRE(status.membership.learners.empty());
            REQUIRE(status.membership.voters.size() == configured.size());
        }
        auto cluster = status.membership.cluster;
        if (cluster != 0 && std::find(clusters.begin(), clusters.end(), cluster) == clusters.end())
            clusters.push_back(cluster);
    }

    std::mt19937_64 m_random;
    std::vector<std::string> m_names;
    std::map<std::string, Node> m_nodes;
    std::set<std::pair<std::string, std::string>> m_blockedLinks; // from, to
    std::map<std::pair<TimePoint, std::uint64_t>, QueuedMessage> m_queue;
    std::map<std::pair<TimePoint, std::uint64_t>, QueuedMessage> m_held;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastId = 0;
    TimePoint m_now;
    std::map<std::uint64_t, AppliedEntry> m_history; // by index
    std::map<std::uint64_t, LocalAnswer> m_answers;
    std::map<std::uint64_t, bool> m_reads;
    std::map<std::uint64_t, ControlMember> m_leaders; // by term
};

} // namespace citronplank::testing

// Membership and dissemination: SWIM failure detection with suspicion and Lifeguard's local health score, and a
// replicated store of versioned items. Updates of the items are piggybacked on the datagrams of the failure detection;
// anti-entropy compares digests and repairs what that missed.
//
//     auto gossip = GossipBuilder().self(instance).seeds({ "10.0.0.1:7000" }).randomSeed(n).build();
//     auto out = gossip.tick(now);                       // every 10 to 50 ms
//     out = gossip.receive(fromAddress, bytes, now);     // for each datagram
//     out = gossip.publish("freshness", payload, now);   // replaces the older version everywhere
//     // then send out.datagrams and act on out.changedItems and out.memberEvents
//
// A key has one current version. A publisher gives its version a higher sequence than every version of the key that it
// knows, so the publisher of a key may change. Concurrent versions of two publishers are ordered by incarnation and
// sequence.
#pragma once

#include "coordination/GossipMessages.h"
#include "coordination/GossipStore.h"

#include <deque>
#include <random>

namespace citronplank {

struct Member {
    Instance instance;
    MemberStatus status = MemberStatus::Alive;
};

/// A member that joined (Alive), restarted, or whose status changed.
struct MemberEvent {
    Instance instance;
    MemberStatus status = MemberStatus::Alive;
};

/// One version of an item, as reported to the users of Gossip.
struct GossipItem {
    std::string key;
    std::string payload;
    std::string publisher; // name of the member that published this version
    bool removed = false;
};

struct GossipSettings {
    milliseconds period { 200 };               // between two probes, in a group of at most `smallGroupSize`
    milliseconds ackTimeout { 150 };           // per attempt; multiplied by the local health score + 1
    milliseconds suspicionTimeout { 2000 };    // lower bound; see suspicionPerDoubling
    milliseconds suspicionPerDoubling { 300 }; // times log2(members); the longer of the two applies
    milliseconds syncInterval { 3000 };        // between two digests when the last exchange found little to repair
    milliseconds rejoinInterval { 2000 };      // between two attempts to reach a seed or a dead member
    seconds removalLifetime { 3600 };     // of removed items and dead members; limits how long a partition may last
    seconds orphanedItemLifetime { 900 }; // of items whose publisher is dead; a blocked query fingerprint needs 600 s
    std::size_t smallGroupSize = 32;      // members; a larger group has a longer period, up to twice, to save bandwidth
    std::uint32_t relays = 3;             // members asked to ping a probed member that does not answer
    double sendsPerDoubling = 2.5;        // an update is transmitted this many times log2(members)
    std::uint32_t bytesPerSecond = 1600;  // upper limit of what is sent, IP and UDP headers included
    std::uint32_t burstBytes = 8000;      // may be sent at once after a quiet period
};

constexpr std::size_t datagramHeaderBytes = 28; // IPv4 and UDP
constexpr std::size_t maxItemBytes = 1000;      // key and payload; one record has to fit into a datagram

/// Counts since this member was built.
struct GossipCounters {
    std::uint64_t malformed = 0;   // datagrams dropped
    std::uint64_t overBudget = 0;  // datagrams not sent: no budget left, or no address known
    std::uint64_t suspicions = 0;  // raised by this member's own probes
    std::uint64_t refutations = 0; // of suspicions about this member
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0; // headers included
};

/// State machine without I/O. Not thread safe: callers serialize all calls to one object.
class Gossip {
public:
    struct Datagram {
        std::string address; // "IP:PORT"
        std::string bytes;   // at most gossipDatagramBytes
    };
    struct Output {
        std::vector<Datagram> datagrams;
        std::vector<GossipItem> changedItems;  // published by others
        std::vector<MemberEvent> memberEvents; // about others
    };

    /// Runs the timers: probes, suspicions, digests and expiry. Call every 10 to 50 ms; a gap of a second or more is
    /// handled as a pause of this process.
    Output tick(TimePoint now);
    /// Handles one datagram. Malformed ones are counted and dropped.
    Output receive(std::string_view fromAddress, std::string_view bytes, TimePoint now);
    /// Publishes a new version of an item; later datagrams disseminate it. Throws Error (BadRequest) when key and
    /// payload exceed maxItemBytes or the key is empty.
    Output publish(std::string_view key, std::string_view payload, TimePoint now);
    /// Publishes the removal of an item, also of one published by another member. Does nothing when it is not present.
    Output remove(std::string_view key, TimePoint now);
    /// Planned stop: announces that this member leaves. Keep calling tick() for about a second so that the notice
    /// spreads; the member starts no more probes and is not suspected.
    Output leave(TimePoint now);

    /// Imports records that another member exported, for a faster start. With `disseminate` they are also sent to other
    /// members, which may lack them. If any record is malformed, none is imported and GossipCounters::malformed
    /// increases by 1.
    Output importRecords(std::string_view bytes, TimePoint now, bool disseminate = false);
    /// Encodes the records of all live members, for importRecords() at a starting member.
    std::string exportMembers() const;
    /// Encodes the record of this member, for importRecords() at another one.
    std::string exportSelf() const;

    /// Replaces the seeds: gossip addresses of members through which this one joins the group.
    void setSeeds(std::vector<std::string> addresses);
    /// All present items, ordered by key.
    std::vector<GossipItem> items() const;
    /// One item, if present.
    std::optional<GossipItem> item(std::string_view key) const;
    /// All members known, this one included, ordered by name.
    std::vector<Member> members() const;
    /// The instance of one member, this one included; nothing when it is unknown.
    std::optional<Instance> instanceOf(std::string_view name) const;
    /// Members that are alive or suspected, without this one, ordered by name.
    std::vector<Instance> livePeers() const;
    /// The status of one member; nothing when it is unknown.
    std::optional<MemberStatus> statusOf(std::string_view name) const;
    const Instance& self() const { return m_self; }
    const GossipCounters& counters() const { return m_counters; }
    /// Lifeguard's score: 0 is healthy; timeouts are multiplied by the score + 1.
    std::uint32_t localHealthScore() const { return m_localHealthScore; }

private:
    friend class GossipBuilder;
    struct Probe {
        std::string target;
        TimePoint attemptEnds;
        int attempts = 1;
        std::uint32_t nacksExpected = 0; // relays asked so far
        std::uint32_t nacks = 0;
    };
    struct Suspicion {
        TimePoint deadline; // then the final pings start
        int finalPings = 0; // sent after the deadline, before the suspect is declared dead
    };
    struct RelayedPing {          // sent by this member at the request of another one
        std::string address;      // of the member that asked
        std::uint64_t number = 0; // of its request
        TimePoint nackAt;
        bool nackSent = false;
        TimePoint ends;
    };
    Gossip(Instance self, std::vector<std::string> seeds, GossipSettings, std::uint64_t randomSeed);

    struct Sender { // of the received datagram; answers go to it
        std::string name;
        std::string address;
    };

    void start(TimePoint now);
    void handlePause(Duration gap, TimePoint now);
    void refillBudget(TimePoint now);
    void runPeriod(TimePoint now, Output&);
    void startProbe(TimePoint now, Output&);
    void advanceProbes(TimePoint now, Output&);
    void retryProbe(std::uint64_t number, Probe&, TimePoint now, Output&);
    void failProbe(const Probe&, TimePoint now, Output&);
    void advanceRelayedPings(TimePoint now, Output&);
    void expireSuspicions(TimePoint now, Output&);
    void sendDigest(TimePoint now, Output&);
    void rejoin(Output&);
    bool sendInitialRecords(const GossipDigest&, const Sender&, Output&);
    bool sendBytes(const std::string& address, const std::string& bytes, std::size_t reservedBytes, Output&);
    bool sendRecords(const std::string& address, const std::vector<const GossipRecord*>&, bool isSync, Output&);

    void handle(const GossipPing&, const Sender&, TimePoint now, Output&);
    void handle(const GossipAck&, const Sender&, TimePoint now, Output&);
    void handle(const GossipNack&, const Sender&, TimePoint now, Output&);
    void handle(const GossipPingRequest&, const Sender&, TimePoint now, Output&);
    void handle(const GossipDigest&, const Sender&, TimePoint now, Output&);
    void handle(const GossipSummary&, const Sender&, TimePoint now, Output&);
    void handle(const GossipRecordRequest&, const Sender&, TimePoint now, Output&);
    void handle(const GossipRecords&, const Sender&, TimePoint now, Output&);

    /// Merges a received record. Returns the record held by this member if the received one is older. `sendsLeft` as
    /// for GossipStore::merge().
    const GossipRecord* accept(const GossipRecord&, std::optional<std::uint32_t> sendsLeft, TimePoint now, Output&);
    void acceptSelf(const GossipRecord&, TimePoint now);
    void processChange(const GossipRecord&, const GossipRecord* before, TimePoint now, Output&);
    void pingSuspect(const Instance&, Output&);
    void setStatus(const std::string& name, MemberStatus, TimePoint now, Output&);
    void putSelf(MemberStatus, TimePoint now);
    void putItem(std::string_view key, std::string_view payload, std::uint8_t status, TimePoint now);

    enum class Piggyback : std::uint8_t { Queued, None };
    bool send(
        const std::string& address, const std::string& receiver, GossipBody, Output&, Piggyback = Piggyback::Queued);
    std::vector<std::string> randomMembers(std::size_t count, std::string_view except);
    void updateSendLimit();
    void raiseLocalHealthScore(std::uint32_t by);
    /// How long one attempt of a probe waits for an ack.
    Duration attemptTimeout() const { return m_settings.ackTimeout * (m_localHealthScore + 1); }
    Duration suspicionTimeout() const;
    /// Time between two probes in a group of the present size.
    Duration period() const;

    Instance m_self;
    std::uint64_t m_selfSequence = 0;
    std::vector<std::string> m_seeds;
    GossipSettings m_settings;
    std::mt19937_64 m_random;
    GossipStore m_store;
    GossipCounters m_counters;
    bool m_started = false;
    bool m_left = false;
    bool m_joining = true; // until the digests of this member and a peer are nearly equal
    std::uint32_t m_localHealthScore = 0;
    double m_budgetBytes = 0;
    TimePoint m_lastTick {};
    TimePoint m_nextPeriod {};
    TimePoint m_nextSync {};
    TimePoint m_nextRejoin {};
    TimePoint m_nextCleanup {};
    std::uint64_t m_nextNumber = 1;
    std::map<std::string, Instance, std::less<>> m_alive; // alive and suspect members without this one
    std::deque<std::string> m_probeOrder;
    std::map<std::uint64_t, Probe> m_probes;                    // by number of their pings
    std::map<std::uint64_t, RelayedPing> m_relayedPings;        // by number of this member's ping
    std::map<std::string, Suspicion, std::less<>> m_suspicions; // by name of the suspect
    bool m_sendRefutation = false; // the datagram being handled reports a suspicion of this member
};

class GossipBuilder {
public:
    /// Required: the instance of this member, with name and gossipAddress.
    GossipBuilder& self(Instance);
    /// Gossip addresses of members through which this one joins; its own address may be among them.
    GossipBuilder& seeds(std::vector<std::string>);
    GossipBuilder& settings(GossipSettings);
    /// Seed of the random choices; must differ between members.
    GossipBuilder& randomSeed(std::uint64_t);
    /// Throws Error (BadRequest) when the instance has no name or gossip address.
    Gossip build() const;

private:
    Instance m_self;
    std::vector<std::string> m_seeds;
    GossipSettings m_settings;
    std::uint64_t m_randomSeed = 1;
};

} // namespace citronplank

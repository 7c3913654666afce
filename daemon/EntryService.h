// Entry side of requests: admits requests of callers, runs them and sends the answers.
#pragma once

#include "daemon/ConfigurationTable.h"
#include "daemon/ControlClient.h"
#include "daemon/OrderedMutex.h"
#include "policy/Admission.h"
#include "query/KeyedExecution.h"
#include "query/LeafGates.h"
#include "query/QueryExecution.h"
#include "transport/HttpServer.h"

#include <asio/basic_waitable_timer.hpp>

namespace citronplank {

/// Functions of other services that the entry service calls. All are thread safe and called without a lock held.
struct EntryCallbacks {
    std::function<void(const PartSend&)> sendPart;
    std::function<void(const PartCancel&)> cancelPart;
    std::function<void(Command, milliseconds timeout, ControlClient::Handler)> submit;
    std::function<std::vector<Announcement>(const std::string& service)> replicasOf;
    std::function<std::uint64_t()> directoryVersion; // increases with each change of the leaf directory
};

struct EntrySettings {
    std::string instance; // name of this daemon
    std::string zone;
    std::uint64_t incarnation = 0;
};

struct EntryCounters {
    std::uint64_t queries = 0;
    std::uint64_t queriesWhole = 0;
    std::uint64_t queriesPartial = 0;
    std::uint64_t keyedRequests = 0;
    std::uint64_t keyedRan = 0; // answered with the outcome "ran"
    std::uint64_t parts = 0;    // for this and the next five see QueryCounters
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t restarts = 0;
    std::uint64_t lateResults = 0;
    std::uint64_t foreignResults = 0;
    std::uint64_t running = 0;                 // requests in execution now
    std::map<ErrorKind, std::uint64_t> errors; // error answers by kind
};

enum class EntryState : std::uint8_t { Starting, Ready, Stopping };

/// Every method is thread safe. The table has rank LockRank::ReplicaStatistics and also guards the running requests.
class EntryService {
public:
    /// Precondition: `io` and `configuration` outlive this object.
    EntryService(asio::io_context& io, EntrySettings, ConfigurationTable& configuration, EntryCallbacks);

    /// Handles one request received on the caller address.
    void onRequest(const HttpRequest&, const Responder&);
    /// Handles the result of a part that this instance sent.
    void onResult(const PartResult&);
    /// Applies changed rules to the policies.
    void onConfiguration();
    /// Applies a suspicion about a request fingerprint that a gate or another instance reported.
    void applySuspicion(const SuspicionEvent&, TimePoint expiresAt);

    void setState(EntryState);
    EntryState state() const;
    EntryCounters counters() const;
    std::uint64_t runningCount() const;

private:
    using QueryRun = QueryExecution<ReplicaStatistics>;
    using KeyedRun = KeyedExecution<ReplicaStatistics>;
    struct RunningRequest {
        RunningRequest(asio::io_context& io, Responder it)
            : responder(std::move(it))
            , timer(io)
        {
        }
        std::uint64_t id = 0;
        AdmissionRequest admitted;
        Responder responder;
        bool isFirstSend = false; // of a keyed request, as stated by the caller
        asio::basic_waitable_timer<Clock> timer;
        std::unique_ptr<QueryRun> query;
        std::unique_ptr<KeyedRun> keyed;
        std::optional<BeginKeyed> begin; // last proposal; proposing it again reads the record
    };
    struct CachedLayout {
        std::shared_ptr<const PinnedLayout> layout;
        std::uint64_t directoryVersion = 0;
        std::shared_ptr<const Configuration> configuration;
        bool isFresh = false; // false: the layout has leaves of the own zone only
    };
    struct Table {
        explicit Table(std::uint64_t seed);
        ReplicaStatistics statistics;
        LayoutChooser chooser;
        std::map<std::string, CachedLayout, std::less<>> layouts;
        std::unordered_map<std::uint64_t, std::shared_ptr<RunningRequest>> running;
        Admission admission;
        /// Starts at a random number, so that a late answer to an earlier incarnation of this instance matches no
        /// request.
        std::uint64_t lastId;
        EntryCounters counters;
        EntryState state = EntryState::Starting;
    };

    void startQuery(const HttpRequest&, const Responder&);
    void startKeyed(const HttpRequest&, const Responder&, bool isFirstSend);
    ServiceRules rulesOf(const Configuration&, const std::string& service, milliseconds& deadline) const;
    std::shared_ptr<const PinnedLayout> layoutOf(const std::string& service);
    std::shared_ptr<RunningRequest> admit(AdmissionRequest, const Rules&, const Responder&);
    void remove(Table&, const std::shared_ptr<RunningRequest>&);
    void onCallerDisconnected(std::uint64_t id);
    void armTimer(const std::shared_ptr<RunningRequest>&, std::optional<TimePoint>);
    void onTimer(std::uint64_t id);

    template <typename Function>
    void advanceQuery(std::uint64_t id, Function&&);
    template <typename Function>
    void advanceKeyed(std::uint64_t id, Function&&);
    void performQuery(const std::shared_ptr<RunningRequest>&, QueryActions);
    void performKeyed(const std::shared_ptr<RunningRequest>&, KeyedActions);
    void answerQuery(const std::shared_ptr<RunningRequest>&, const QueryOutcome&);
    void answerKeyed(const std::shared_ptr<RunningRequest>&, const KeyedOutcome&);
    void fail(const Responder&, const Error&);
    void propose(std::uint64_t id, const KeyedProposal&);
    void readRecord(std::uint64_t id);

    asio::io_context& m_io;
    EntrySettings m_settings;
    ConfigurationTable& m_configuration;
    EntryCallbacks m_callbacks;
    mutable Guarded<Table> m_table;
};

} // namespace citronplank

// Runs a control member: a thread that owns the replica of the control log and performs its blocking disk writes.
#pragma once

#include "coordination/ControlReplica.h"

#include <functional>
#include <memory>

namespace citronplank {

struct ControlServiceSettings {
    std::string name;
    std::vector<std::string> members; // names of all configured control members, this one included
    std::string dataFolder;
    bool openMembership = false; // for this and the next two see ControlLogSettings
    bool mayBootstrap = true;
    std::size_t voterTarget = 0;
    std::optional<milliseconds> reopenAfter {}; // delay before failed storage is reopened; absent: never
};

/// Status of the control role for the status page.
struct ControlServiceStatus {
    ControlLogStatus log;
    std::uint64_t publishedVersion = 0;
    std::uint64_t rulesVersion = 0;
    std::size_t requestKeys = 0;
    std::string failure; // why the control role has stopped; empty while it runs
};

/// All handlers run on the control thread and must not block.
struct ControlServiceHandlers {
    /// Sends a control message to the daemon `name`.
    std::function<void(const std::string& name, std::string bytes)> send;
    /// Called at the start and after each change of the published state.
    std::function<void(PublishedDifference)> published;
    /// Called when a quorum has confirmed that this member is leader.
    std::function<void(const Freshness&)> freshness;
    /// Called after `published` with the views of all zones and the version of the published state.
    std::function<void(const std::vector<ZoneView>&, std::uint64_t version)> views;
    /// Called every 20 ms.
    std::function<void()> tick;
};

class ControlService {
public:
    using AnswerHandler = std::function<void(const LocalAnswer&)>;

    /// Precondition: `settings.name` is among the members. Throws StorageError if the data folder cannot be read.
    ControlService(const ControlServiceSettings&, ControlServiceHandlers);
    /// Stops the thread and drops queued work.
    ~ControlService();
    ControlService(const ControlService&) = delete;
    ControlService& operator=(const ControlService&) = delete;

    /// Starts the thread. Precondition: called once.
    void start();
    /// Stops the thread. May be called twice. Precondition: not called on the control thread.
    void stop();

    /// Processes a received message. Drops it, as a link may, if too many bytes wait for the control thread. Thread
    /// safe.
    void receive(const std::string& from, ControlMessage message);
    /// Proposes a command; `handler` runs on the control thread, at most once. It does not run if the service stops
    /// first, or if the control role has failed and is not reopened. Thread safe.
    void propose(Command, AnswerHandler handler);
    /// Confirms with a quorum round, started after this call, that this member is leader. `handler` runs as in
    /// `propose`. Thread safe.
    void confirmLeadership(std::function<void(bool confirmed)> handler);
    /// Transfers the leadership, if this member has it, to an up-to-date member, so that a planned stop causes no
    /// election timeout. Thread safe.
    void transferLeadership();
    /// See ControlLog. Thread safe.
    void setContacts(std::set<std::string> names);
    /// Runs `task` on the control thread. Thread safe.
    void post(std::function<void()> task);
    /// Rule lines of an older version; absent if unknown. Blocks until the control thread answers, at most 2 s. Thread
    /// safe. Precondition: not called on the control thread.
    std::optional<std::vector<RuleLine>> linesAt(std::uint64_t rulesVersion);
    /// Thread safe.
    ControlServiceStatus status() const;

    /// Precondition: called on the control thread.
    bool isLeader() const;
    const ControlState& state() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace citronplank

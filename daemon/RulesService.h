// Watches the rules file of this instance, submits saved edits to the control log and reports their outcome to the
// operator.
#pragma once

#include "daemon/ConfigurationTable.h"
#include "daemon/ControlClient.h"
#include "rules/RulesWatcher.h"

#include <atomic>
#include <thread>

namespace citronplank {

/// Functions of other services that the rules service calls. All are thread safe.
struct RulesServiceCallbacks {
    std::function<void(Command, milliseconds timeout, ControlClient::Handler)> submit;
    RulesLookup linesAt;
};

/// Runs on a thread of its own because file access may block for long. Thread safe.
class RulesService {
public:
    /// Precondition: `configuration` outlives this object.
    RulesService(
        const std::string& path, std::string instance, ConfigurationTable& configuration, RulesServiceCallbacks);
    ~RulesService();
    RulesService(const RulesService&) = delete;
    RulesService& operator=(const RulesService&) = delete;

    /// Precondition: called once.
    void start();
    /// May be called twice.
    void stop();

private:
    struct Outcome {
        RulesSubmission submission;
        SubmitResult result;
    };

    void run();
    void submit(const RulesSubmission&);
    void apply(const Outcome&);
    void reportEdit(const RulesSubmission&, const EditResult&);
    std::string authorOf(const RulesSubmission&) const;

    std::string m_path;
    std::string m_instance;
    ConfigurationTable& m_configuration;
    RulesServiceCallbacks m_callbacks;
    RulesWatcher m_watcher;             // used by the thread only
    std::uint64_t m_writtenVersion = 0; // passed to the watcher last, if `m_hasWritten`
    bool m_hasWritten = false;
    std::mutex m_mutex; // guards the outcomes only; no other mutex is acquired under it
    std::vector<Outcome> m_outcomes;
    /// Versions of accepted edits by submission id, until they are in force on this instance.
    std::map<std::uint64_t, std::uint64_t> m_acceptedVersions;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace citronplank

// Follows the rules file of this instance: submits saved edits to the control log and tells the operator the outcome.
#pragma once

#include "daemon/ConfigurationTable.h"
#include "daemon/ControlClient.h"
#include "rules/RulesWatcher.h"

#include <atomic>
#include <thread>

namespace citronplank {

/// How the rules service reaches other parts of the daemon. All are thread safe.
struct RulesLinks {
    std::function<void(Command, milliseconds timeout, ControlClient::Handler)> submit;
    RulesLookup linesAt;
};

/// A thread of its own, because reading and syncing files may take long. Thread safe.
class RulesService {
public:
    /// Precondition: `configuration` outlives this object.
    RulesService(const std::string& path, std::string instance, ConfigurationTable& configuration, RulesLinks);
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
    RulesLinks m_links;
    RulesWatcher m_watcher; // used by the thread only
    std::uint64_t m_shownVersion = 0;
    bool m_hasShown = false;
    std::mutex m_mutex; // guards the outcomes only; no other mutex is acquired under it
    std::vector<Outcome> m_outcomes;
    std::map<std::uint64_t, std::uint64_t> m_acceptedVersions; // by submission, until they are in force here
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace citronplank

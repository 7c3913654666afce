#include "daemon/RulesService.h"

#include "daemon/Logging.h"

namespace citronplank {

namespace {

constexpr milliseconds submitTimeout { 3000 }; // for finding a control leader

/// Why an edit makes the rules in force invalid.
std::string invalidReason(const RulesSubmission& submission, const std::vector<RuleLine>& inForce)
{
    try {
        toRules(applyRuleChanges(inForce, submission.changes));
    } catch (const RulesError& error) {
        return "combined with the rules in force: " + error.reason();
    }
    return "the edit is invalid";
}

} // namespace

RulesService::RulesService(
    const std::string& path, std::string instance, ConfigurationTable& configuration, RulesServiceCallbacks callbacks)
    : m_path(path)
    , m_instance(std::move(instance))
    , m_configuration(configuration)
    , m_callbacks(std::move(callbacks))
    , m_watcher(path, m_instance, m_callbacks.linesAt)
{
}

RulesService::~RulesService() { stop(); }

void RulesService::start()
{
    m_thread = std::thread([this] { run(); });
}

void RulesService::stop()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void RulesService::run()
{
    while (!m_stopping) {
        std::vector<Outcome> outcomes;
        {
            std::lock_guard lock(m_mutex);
            outcomes.swap(m_outcomes);
        }
        for (const auto& it : outcomes)
            apply(it);
        auto configuration = m_configuration.current();
        auto version = configuration->published.rulesVersion;
        for (auto it = m_acceptedVersions.begin(); it != m_acceptedVersions.end();) {
            // An accepted edit is reported once it is in force on this instance too.
            if (it->second > version) {
                ++it;
                continue;
            }
            m_watcher.onAccepted(it->first, version, configuration->lines);
            it = m_acceptedVersions.erase(it);
        }
        if (configuration->published.cluster != 0 && (!m_hasWritten || version != m_writtenVersion)) {
            m_watcher.onInForce(version, configuration->lines);
            m_writtenVersion = version;
            m_hasWritten = true;
        }
        auto found = m_watcher.poll(Clock::now());
        if (found.error)
            log(LogLevel::Warning, "rules", *found.error);
        if (found.submission)
            submit(*found.submission);
        std::this_thread::sleep_for(rulesPollInterval);
    }
}

std::string RulesService::authorOf(const RulesSubmission& submission) const
{
    for (const auto& change : submission.changes) {
        if (!change.line)
            continue;
        return change.line->comment.substr(0, change.line->comment.find(':')) + " at " + m_instance;
    }
    return m_instance;
}

void RulesService::submit(const RulesSubmission& submission)
{
    log(LogLevel::Info, "rules",
        "Submitting " + std::to_string(submission.changes.size()) + " changes of the rules file based on version "
            + std::to_string(submission.baseVersion) + ".");
    EditRules edit { std::to_string(submission.submissionId), authorOf(submission), submission.baseVersion,
        submission.changes };
    m_callbacks.submit(edit, submitTimeout, [this, submission](const SubmitResult& result) {
        std::lock_guard lock(m_mutex);
        m_outcomes.push_back({ submission, result });
    });
}

void RulesService::apply(const Outcome& outcome)
{
    const auto& submission = outcome.submission;
    if (outcome.result.status == ProposeStatus::Committed) {
        if (const auto* edit = std::get_if<EditResult>(&outcome.result.result))
            reportEdit(submission, *edit);
        return;
    }
    // The retry has the same submission id, so an edit whose result is unknown is not applied twice.
    const auto* reason
        = outcome.result.status == ProposeStatus::Unknown ? "its result is not known yet" : "no majority";
    m_watcher.onPending(submission.submissionId, reason, Clock::now());
    log(LogLevel::Warning, "rules",
        std::string("A rules edit is pending and will be submitted again: ") + reason + ".");
}

void RulesService::reportEdit(const RulesSubmission& submission, const EditResult& edit)
{
    std::string reason;
    switch (edit.status) {
    case EditStatus::Accepted:
        m_acceptedVersions[submission.submissionId] = edit.version;
        log(LogLevel::Info, "rules", "The rules edit was accepted as version " + std::to_string(edit.version) + ".");
        return;
    case EditStatus::Conflict:
        reason = "conflict: \"" + edit.conflictKey + "\" was changed in version " + std::to_string(edit.conflictVersion)
            + " by " + edit.conflictAuthor;
        break;
    case EditStatus::BaseTooOld:
        reason = "the version in the header is too old to detect conflicts; apply the changes to a current file";
        break;
    case EditStatus::BaseUnknown:
        reason = "the version in the header does not exist";
        break;
    case EditStatus::Invalid:
        reason = invalidReason(submission, m_configuration.current()->lines);
        break;
    }
    m_watcher.onRefused(submission.submissionId, reason);
    log(LogLevel::Warning, "rules", "A rules edit was refused: " + reason + ".");
}

} // namespace citronplank

#include "daemon/ZoneOrders.h"

#include "daemon/Logging.h"

#include <random>

namespace citronplank {

namespace {

constexpr const char* editAuthor = "operator"; // of the rule lines that take zones out

std::string randomId()
{
    std::random_device random;
    return std::to_string((std::uint64_t { random() } << 32U) | random());
}

void logOrder(const ZoneOrder& order, std::uint64_t version, std::string_view outcome)
{
    log(LogLevel::Info, "rules",
        "zone=" + order.zone + (order.out ? " out" : " in") + " based_on=" + std::to_string(version) + " "
            + std::string(outcome));
}

/// Whether the edit is refused because the rules have changed since the version that it is based on.
bool isOutdated(EditStatus status) { return status != EditStatus::Accepted && status != EditStatus::Invalid; }

} // namespace

ZoneOrders::ZoneOrders(std::string instance, Submitter submitter, VersionReader readVersion)
    : m_instance(std::move(instance))
    , m_submitter(std::move(submitter))
    , m_readVersion(std::move(readVersion))
{
}

void ZoneOrders::submit(ZoneOrder order, Done done, TimePoint now)
{
    submitAt(m_readVersion(), std::move(order), std::move(done), now + lifetime);
}

/// Submits an edit based on `version` if the caller still waits. After a conflict with an edit by someone else, tries
/// again based on the version that is then in force.
void ZoneOrders::submitAt(std::uint64_t version, ZoneOrder order, Done done, TimePoint deadline)
{
    auto check = order.checkCaller;
    check([this, version, order = std::move(order), done = std::move(done), deadline](bool isWaiting) mutable {
        if (!isWaiting || Clock::now() >= deadline) {
            logOrder(order, version, isWaiting ? "not carried out in time" : "abandoned; its caller waits no longer");
            done(false);
            return;
        }
        auto edit = editOf(order, version);
        m_submitter(std::move(edit),
            [this, version, order = std::move(order), done = std::move(done), deadline](
                const SubmitResult& result) mutable {
                const auto* edited = std::get_if<EditResult>(&result.result);
                bool isCommitted = result.status == ProposeStatus::Committed && edited;
                if (isCommitted && isOutdated(edited->status)) {
                    submitAt(edited->version, std::move(order), std::move(done), deadline);
                    return;
                }
                bool isAccepted = isCommitted && edited->status == EditStatus::Accepted;
                logOrder(order, version, isAccepted ? "accepted" : "refused or not confirmed");
                done(isAccepted);
            });
    });
}

EditRules ZoneOrders::editOf(const ZoneOrder& order, std::uint64_t version) const
{
    EditRules edit;
    edit.submissionId = m_instance + "/" + randomId();
    edit.author = editAuthor;
    edit.baseVersion = version;
    auto key = "zone " + order.zone;
    // The comment makes each line unique, so that the control log always writes it, and the line of a zone that is in
    // service stays, since a line that does not exist has no version.
    auto comment = std::string(editAuthor) + ": order " + edit.submissionId;
    edit.changes.push_back({ key, RuleLine { key, order.out ? "out" : "in", comment } });
    return edit;
}

} // namespace citronplank

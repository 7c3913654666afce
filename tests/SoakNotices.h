// Checks of bench_RoutedSoak on leaves that say in their answers that they are leaving, or that they want no requests
// for a while: what reaches a leaf afterwards from the instance that got the answer.
//
// Leaves see requests only through relays, so the sender of a request is known only for forwarded ones: the entry
// instance that the caller has sent it to.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronplank::testing {

/// Not thread safe.
class SoakNotices {
public:
    using Clock = std::chrono::steady_clock;
    using Time = Clock::time_point;
    using milliseconds = std::chrono::milliseconds;
    /// Whether nothing has disrupted an instance or its connection to a leaf in a time span.
    using DisruptionCheck
        = std::function<bool(const std::string& entry, const std::string& leaf, Time from, Time until)>;
    using Reporter = std::function<void(const std::string& violation)>;

    /// From an answer that says that its leaf is leaving until its instance sends it no more; as for draining leaves.
    static constexpr milliseconds leaveBound { 3000 };
    /// From a refusal that states a pause until its instance keeps to it.
    static constexpr milliseconds pauseBound { 500 };
    static constexpr int maxRequestsInPause = 2;

    SoakNotices(DisruptionCheck isUndisrupted, Reporter report)
        : m_isUndisrupted(std::move(isUndisrupted))
        , m_report(std::move(report))
    {
    }

    /// Sets the entry instance that gets the forwarded request `id`, and when its caller sends it.
    void onRequest(const std::string& id, const std::string& entry, Time sentAt) { m_requests[id] = { entry, sentAt }; }
    /// A request has reached a leaf in its run that began at `boot`.
    void onArrival(const std::string& id, const std::string& leaf, std::uint64_t boot, Time at);
    /// The leaf has answered the request `id` and said that it is leaving.
    void onLeaving(const std::string& id, const std::string& leaf, std::uint64_t boot, Time at);
    /// The leaf has refused the request `id` and wants no requests for `pause`.
    void onPause(const std::string& id, const std::string& leaf, std::uint64_t boot, Time at, milliseconds pause);
    /// Number of notices that entry instances have got, whose bounds are checked.
    int count() const { return m_count; }

private:
    struct Request {
        std::string entry;
        Time sentAt;
    };
    struct Pause {
        Time from; // `pauseBound` after the refusal
        Time until;
        int arrivals = 0;
    };
    /// What a run of a leaf has said in its answers to an entry instance.
    struct Notices {
        Time leavingAt = Time::max(); // first answer
        std::vector<Pause> pauses;
    };
    using Key = std::pair<std::string, std::pair<std::string, std::uint64_t>>; // entry instance, leaf and its boot

    Notices* noticesFor(const std::string& id, const std::string& leaf, std::uint64_t boot);

    DisruptionCheck m_isUndisrupted;
    Reporter m_report;
    std::map<std::string, Request> m_requests; // by id
    std::map<Key, Notices> m_notices;
    int m_count = 0;
};

} // namespace citronplank::testing

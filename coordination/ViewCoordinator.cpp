#include "coordination/ViewCoordinator.h"

#include <algorithm>

namespace citronplank {

namespace {

// Joins that arrive close together are put into one view, because the previous view has to be retired before the next
// change.
constexpr milliseconds joinBatchDelay { 300 };
constexpr milliseconds recentContactWindow { 700 };    // leaseRenewInterval and some delay
constexpr milliseconds joinRequestTimeout { 2000 };    // a joiner that has not repeated its request is dropped
constexpr milliseconds proposalRetryInterval { 2000 }; // when a proposal is not committed

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

void ViewCoordinator::becomeLeader(std::span<const ZoneView> views, TimePoint now)
{
    m_leaderSince = now;
    m_zones.clear();
    for (const auto& view : views) {
        auto& zone = m_zones[view.zone];
        zone.view = view;
        zone.knownSince = now;
    }
}

void ViewCoordinator::resign()
{
    m_leaderSince.reset();
    m_zones.clear();
}

ViewCoordinator::Zone& ViewCoordinator::zoneOf(const std::string& name, TimePoint now)
{
    const auto [it, isNew] = m_zones.try_emplace(name);
    if (isNew) {
        it->second.view.zone = name;
        it->second.knownSince = now;
    }
    return it->second;
}

void ViewCoordinator::onViewCommitted(const ZoneView& view, TimePoint now)
{
    if (!m_leaderSince)
        return;
    auto& zone = zoneOf(view.zone, now);
    if (view.number <= zone.view.number)
        return;
    zone.view = view;
    zone.knownSince = now;
    zone.adopters.clear();
    zone.firstAdoption.reset();
    zone.lastContact.reset();
    zone.pendingProposal.reset();
    zone.isPreviousViewRetired = false;
    std::erase_if(zone.joining, [&](const auto& joiner) { return contains(view.members, joiner.first); });
    std::erase_if(zone.leaving, [&](const auto& leaver) { return !contains(view.members, leaver.first); });
}

// ---- The previous view ----------------------------------------------------------------------------------------------

void ViewCoordinator::recordContact(Zone& zone, const ZoneRequest& request, TimePoint now) const
{
    zone.incarnations[request.member] = request.incarnation;
    zone.lastHeard[request.member] = now;
    if (const auto it = zone.leaving.find(request.member);
        it != zone.leaving.end() && it->second != request.incarnation)
        zone.leaving.erase(it); // the member has restarted
    if (!contains(zone.view.previous, request.member))
        return;
    zone.lastContact = now;
    if (request.view < zone.view.number)
        return;
    zone.adopters.insert(request.member);
    if (!zone.firstAdoption)
        zone.firstAdoption = now;
}

bool ViewCoordinator::isPreviousViewRetired(const Zone& zone, TimePoint now) const
{
    const bool allRetired = std::all_of(zone.view.previous.begin(), zone.view.previous.end(),
        [&](const std::string& name) { return zone.adopters.contains(name) || zone.stopped.contains(name); });
    if (zone.isPreviousViewRetired || allRetired
        || (zone.firstAdoption && now >= *zone.firstAdoption + leaseWithMargin))
        return true;
    return now >= std::max(zone.knownSince, zone.lastContact.value_or(zone.knownSince)) + previousViewTimeout;
}

// Several members of the previous view that are partitioned from the leader may keep granting it to each other and send
// at the full limit. Once one of them has adopted the new view, its last grants end within the duration of a lease, so
// the new owner waits for that. Only if none adopts it in time may the new owner send at the same time.
bool ViewCoordinator::isPreviousViewUnleased(const Zone& zone, TimePoint now) const
{
    if (zone.view.previous.size() > 1 && (zone.firstAdoption || now < zone.knownSince + leaseWithMargin))
        return false;
    return std::all_of(zone.view.previous.begin(), zone.view.previous.end(), [&](const std::string& name) {
        const auto it = zone.lastLease.find(name);
        const auto last = it == zone.lastLease.end() ? *m_leaderSince : it->second;
        return now >= last + leaseWithMargin;
    });
}

PreviousViewState ViewCoordinator::previousViewState(const Zone& zone, TimePoint now) const
{
    if (isPreviousViewRetired(zone, now))
        return PreviousViewState::Retired;
    return isPreviousViewUnleased(zone, now) ? PreviousViewState::Unleased : PreviousViewState::Leased;
}

PreviousViewState ViewCoordinator::previousViewState(std::string_view zone, TimePoint now) const
{
    const auto it = m_zones.find(zone);
    return it == m_zones.end() || !m_leaderSince ? PreviousViewState::Leased : previousViewState(it->second, now);
}

// ---- Changes --------------------------------------------------------------------------------------------------------

// A member whose requests arrive counts as responsive, even if it has not adopted the current view and gets no lease.
bool ViewCoordinator::isUnresponsive(const Zone& zone, const std::string& member, TimePoint now) const
{
    auto last = *m_leaderSince;
    if (!contains(zone.view.previous, member))
        last = std::max(last, zone.knownSince); // it has just joined
    if (const auto it = zone.lastHeard.find(member); it != zone.lastHeard.end())
        last = std::max(last, it->second);
    return now >= last + leaseWithMargin;
}

bool ViewCoordinator::isBeingRemoved(const Zone& zone, const std::string& member) const
{
    return zone.pendingProposal && !contains(zone.pendingProposal->members, member);
}

bool ViewCoordinator::wasAnyHeardFromSince(const Zone& zone, const std::set<std::string>& members, TimePoint since)
{
    return std::any_of(members.begin(), members.end(), [&](const std::string& name) {
        const auto it = zone.lastHeard.find(name);
        return it != zone.lastHeard.end() && it->second >= since;
    });
}

// Returns the members that the view should have now. If the members that remain after a removal have failed as well,
// their view cannot be retired for a minute and no member can join in that time. So the leader must have heard from one
// of them shortly before it proposes a removal, and after a join request before it adds members. If all members fail
// together, all become unresponsive soon after and are replaced in one change.
std::vector<std::string> ViewCoordinator::nextMembers(const Zone& zone, TimePoint now) const
{
    std::set<std::string> members;
    for (const auto& name : zone.view.members)
        if (!isUnresponsive(zone, name, now) && !zone.leaving.contains(name))
            members.insert(name);
    auto batchReady = TimePoint::max();
    for (const auto& [name, joiner] : zone.joining)
        batchReady = std::min(batchReady, joiner.firstRequest + joinBatchDelay);
    const bool hasRemovals = members.size() < zone.view.members.size();
    if (hasRemovals && !members.empty() && !wasAnyHeardFromSince(zone, members, now - recentContactWindow))
        return zone.view.members;
    if ((hasRemovals || now >= batchReady) && (members.empty() || wasAnyHeardFromSince(zone, members, batchReady)))
        for (const auto& [name, joiner] : zone.joining)
            members.insert(name);
    return { members.begin(), members.end() };
}

void ViewCoordinator::propose(Zone& zone, TimePoint now, Output& out) const
{
    std::erase_if(
        zone.joining, [&](const auto& joiner) { return now >= joiner.second.lastRequest + joinRequestTimeout; });
    zone.isPreviousViewRetired = isPreviousViewRetired(zone, now);
    if (!zone.isPreviousViewRetired || (zone.pendingProposal && now < zone.pendingSince + proposalRetryInterval))
        return;
    auto members = nextMembers(zone, now);
    // A view without members would leave no member that could confirm that the view before it is no longer in use.
    if (members.empty() || members == zone.view.members) {
        zone.pendingProposal.reset();
        return;
    }
    zone.pendingProposal = ViewProposal { zone.view.zone, zone.view.number, std::move(members) };
    zone.pendingSince = now;
    out.proposals.push_back(*zone.pendingProposal);
}

ViewCoordinator::Output ViewCoordinator::tick(TimePoint now)
{
    Output out;
    if (m_leaderSince)
        for (auto& [name, zone] : m_zones)
            propose(zone, now, out);
    return out;
}

// ---- Requests -------------------------------------------------------------------------------------------------------

ViewCoordinator::Output ViewCoordinator::receive(const ZoneMessage& message, TimePoint now)
{
    Output out;
    if (!m_leaderSince)
        return out;
    const auto serve = [&](const auto& request) {
        auto& zone = zoneOf(request.zone, now);
        const auto incarnation = zone.incarnations.find(request.member);
        if (incarnation != zone.incarnations.end() && request.incarnation < incarnation->second)
            return; // a delayed request of an earlier incarnation
        recordContact(zone, request, now);
        handle(zone, request, now, out);
        propose(zone, now, out);
    };
    if (const auto* lease = std::get_if<LeaseRequest>(&message))
        serve(*lease);
    else if (const auto* join = std::get_if<ViewJoin>(&message))
        serve(*join);
    else if (const auto* leave = std::get_if<ViewLeave>(&message))
        serve(*leave);
    return out;
}

LeaseAnswer ViewCoordinator::answerTo(const Zone& zone, const ZoneRequest& request, bool granted, TimePoint now) const
{
    LeaseAnswer answer { request.incarnation, request.number, zone.view, granted, previousViewState(zone, now) };
    if (request.view == zone.view.number) {
        answer.view.members.clear();
        answer.view.previous.clear();
    }
    return answer;
}

void ViewCoordinator::handle(Zone& zone, const LeaseRequest& request, TimePoint now, Output& out)
{
    const bool granted = request.view == zone.view.number && contains(zone.view.members, request.member)
        && !isBeingRemoved(zone, request.member);
    if (granted) {
        zone.lastLease[request.member] = now;
        zone.stopped.erase(request.member); // a later incarnation has started
    }
    out.answers.push_back({ request.member, answerTo(zone, request, granted, now) });
}

void ViewCoordinator::handle(Zone& zone, const ViewJoin& request, TimePoint now, Output& out)
{
    if (!contains(zone.view.members, request.member)) {
        auto& joiner = zone.joining.try_emplace(request.member, Joiner { now, now }).first->second;
        joiner.lastRequest = now;
    }
    out.answers.push_back({ request.member, answerTo(zone, request, false, now) });
}

void ViewCoordinator::handle(Zone& zone, const ViewLeave& request, TimePoint now, Output& out)
{
    zone.joining.erase(request.member);
    if (contains(zone.view.members, request.member))
        zone.leaving[request.member] = request.incarnation;
    if (request.stopped)
        zone.stopped[request.member] = request.incarnation;
    out.answers.push_back({ request.member, answerTo(zone, request, false, now) });
}

} // namespace citronplank

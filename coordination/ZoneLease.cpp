#include "coordination/ZoneLease.h"

#include <algorithm>
#include <array>

namespace citronplank {

namespace {

// Between two requests to the leader while this daemon waits for a view, a lease or the retirement of the previous
// view, or leaves; shortens a handover.
constexpr milliseconds urgentInterval { 150 };
// Grants are requested only when the lease ends within this time: in a zone of 107 daemons, requesting them all the
// time would cost too much traffic.
constexpr milliseconds grantRequestLeadTime { 1000 };

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

std::string_view leaseModeName(LeaseMode mode)
{
    constexpr std::array<std::string_view, 4> names { "none", "provisional", "isolated", "confirmed" };
    return names.at(static_cast<std::size_t>(mode));
}

ZoneLease::ZoneLease(ZoneLeaseSettings settings)
    : m_settings(std::move(settings))
{
    if (m_settings.zone.empty() || m_settings.self.empty())
        throw Error(ErrorKind::BadRequest, "a zone lease needs the names of the zone and of the member");
    m_view.zone = m_settings.zone;
}

void ZoneLease::start(TimePoint now)
{
    if (m_startedAt)
        return;
    m_startedAt = now;
    m_nextLeaderRequest = now;
    m_nextGrantRequest = now;
}

// ---- State ----------------------------------------------------------------------------------------------------------

bool ZoneLease::isMember() const { return contains(m_view.members, m_settings.self); }

bool ZoneLease::hasAllGrants(TimePoint now) const
{
    if (!m_leaderAnswered || !isMember())
        return false;
    return std::all_of(m_view.members.begin(), m_view.members.end(), [&](const std::string& name) {
        const auto it = m_grantEnds.find(name);
        return name == m_settings.self || (it != m_grantEnds.end() && now < it->second);
    });
}

TimePoint ZoneLease::usableUntil(TimePoint now) const
{
    // Without a view, or for the only member of one, nothing expires; the limit is decided again after this interval.
    const TimePoint nextDecision = now + leaseRenewInterval;
    if (m_view.number == 0)
        return nextDecision;
    TimePoint until = now;
    if (hasLease(now))
        until = *m_leaseEnds;
    if (hasAllGrants(now)) {
        TimePoint grantsEnd = nextDecision;
        if (m_view.members.size() > 1) {
            const auto first = std::min_element(m_grantEnds.begin(), m_grantEnds.end(),
                [](const auto& a, const auto& b) { return a.second < b.second; });
            grantsEnd = first->second;
        }
        until = std::max(until, grantsEnd);
    }
    return until;
}

bool ZoneLease::isPreviousViewRetired(TimePoint now) const
{
    if (m_previousViewState == PreviousViewState::Retired || m_adopters.size() == m_view.previous.size())
        return true;
    return m_firstAdopterLearnedAt && now >= *m_firstAdopterLearnedAt + leaseWithMargin;
}

LeaseMode ZoneLease::mode(TimePoint now) const
{
    if (m_stopped)
        return LeaseMode::None;
    if (m_view.number == 0)
        return maySendWithoutView(now) ? LeaseMode::Provisional : LeaseMode::None;
    if (!isMember() || !mayUseView(now))
        return LeaseMode::None;
    if (!isPreviousViewRetired(now))
        return LeaseMode::Provisional;
    return hasLease(now) ? LeaseMode::Confirmed : LeaseMode::Isolated;
}

// All live daemons of the zone must have answered recently that they know no view: a view that one of them knows may
// have an owner that sends at the full limit. A daemon that knows a view includes it in its answer.
bool ZoneLease::maySendWithoutView(TimePoint now) const
{
    if (!m_settings.sendsWithoutView || !m_startedAt || now < *m_startedAt + m_settings.waitWithoutView)
        return false;
    return std::all_of(m_liveMembers.begin(), m_liveMembers.end(), [&](const std::string& name) {
        const auto it = m_membersWithoutView.find(name);
        return name == m_settings.self || (it != m_membersWithoutView.end() && now < it->second + leaseDuration);
    });
}

std::vector<std::string> ZoneLease::liveCandidates() const
{
    std::set<std::string> names = m_liveMembers;
    names.insert(m_settings.self);
    return { names.begin(), names.end() };
}

std::string ZoneLease::ownerOf(std::string_view leaf) const
{
    if (m_view.number != 0)
        return rendezvousOwner(leaf, m_view.members);
    return m_settings.sendsWithoutView ? rendezvousOwner(leaf, liveCandidates()) : std::string();
}

bool ZoneLease::wasOwner(std::string_view leaf) const
{
    return rendezvousOwner(leaf, m_view.previous) == m_settings.self;
}

std::uint32_t ZoneLease::allowedLimit(std::string_view leaf, std::uint32_t leafSlots, TimePoint now) const
{
    if (m_stopped || ownerOf(leaf) != m_settings.self)
        return 0;
    if (m_view.number == 0)
        return maySendWithoutView(now) ? 1 : 0;
    if (!mayUseView(now))
        return 0;
    // The only member of a view needs no grants, so without a lease its view may have been replaced. It leaves one slot
    // to the successor, which sends at most 1 part at a time until this view is retired; at a leaf with 1 slot it still
    // sends.
    const bool isAloneWithoutLease = m_view.members.size() == 1 && !hasLease(now);
    const std::uint32_t full = isAloneWithoutLease ? std::max(leafSlots, 2U) - 1 : leafSlots;
    if (wasOwner(leaf) || isPreviousViewRetired(now))
        return full;
    // Once a member of a previous view with several members has adopted this one, the wait is short, but the other
    // members may still hold its last grant.
    const bool awaitsGrantExpiry = m_firstAdopterLearnedAt && m_view.previous.size() > 1;
    return m_previousViewState == PreviousViewState::Unleased && !awaitsGrantExpiry ? 1 : 0;
}

// ---- Requests -------------------------------------------------------------------------------------------------------

template <typename Request>
Request ZoneLease::request(TimePoint now)
{
    Request request;
    request.zone = m_settings.zone;
    request.member = m_settings.self;
    request.incarnation = m_settings.incarnation;
    request.number = m_nextNumber++;
    request.view = m_view.number;
    m_requestSentAt[request.number] = now;
    return request;
}

std::optional<TimePoint> ZoneLease::sentAt(std::uint64_t incarnation, std::uint64_t number) const
{
    const auto it = m_requestSentAt.find(number);
    if (incarnation != m_settings.incarnation || it == m_requestSentAt.end())
        return std::nullopt;
    return it->second;
}

ZoneLease::Output ZoneLease::tick(TimePoint now)
{
    Output out;
    start(now);
    std::erase_if(m_requestSentAt, [&](const auto& sent) { return now >= sent.second + leaseWithMargin; });
    if (now >= m_nextLeaderRequest) {
        const bool isUrgent = m_view.number == 0 || !hasLease(now) || !isPreviousViewRetired(now) || m_leaving;
        m_nextLeaderRequest = now + (isUrgent ? urgentInterval : leaseRenewInterval);
        askLeader(now, out);
    }
    if (now >= m_nextGrantRequest) {
        m_nextGrantRequest = now + leaseRenewInterval;
        askMembers(now, out);
    }
    return out;
}

void ZoneLease::askLeader(TimePoint now, Output& out)
{
    if (m_leaving) {
        auto leave = request<ViewLeave>(now);
        leave.stopped = m_stopped;
        out.push_back({ {}, leave });
    }
    if (m_stopped)
        return;
    if (isMember())
        out.push_back({ {}, request<LeaseRequest>(now) });
    else if (!m_leaving)
        out.push_back({ {}, request<ViewJoin>(now) });
}

void ZoneLease::askMembers(TimePoint now, Output& out)
{
    if (m_stopped || (m_view.number != 0 && !isMember()))
        return;
    if (m_view.number != 0 && hasLease(now + grantRequestLeadTime))
        return;
    const auto receivers = m_view.number != 0 ? m_view.members : liveCandidates();
    for (const auto& name : receivers)
        if (name != m_settings.self)
            out.push_back({ name, request<GrantRequest>(now) });
}

ZoneLease::Output ZoneLease::leave(TimePoint now)
{
    Output out;
    start(now);
    m_leaving = true;
    askLeader(now, out);
    return out;
}

ZoneLease::Output ZoneLease::stop(TimePoint now)
{
    m_stopped = true;
    return leave(now);
}

// ---- Input ----------------------------------------------------------------------------------------------------------

void ZoneLease::setLiveMembers(std::set<std::string> names) { m_liveMembers = std::move(names); }

ZoneLease::Output ZoneLease::adopt(const ZoneView& view, TimePoint now)
{
    Output out;
    start(now);
    if (view.zone != m_settings.zone || view.number <= m_view.number)
        return out;
    m_view = view;
    m_leaseEnds.reset();
    m_grantEnds.clear();
    m_previousViewState = PreviousViewState::Leased;
    m_adopters.clear();
    m_firstAdopterLearnedAt.reset();
    m_membersWithoutView.clear();
    recordAdopter(m_settings.self, view.number, now);
    // The request also informs the leader of the adoption, which the leader needs to retire the previous view.
    m_nextLeaderRequest = now + urgentInterval;
    askLeader(now, out);
    return out;
}

void ZoneLease::recordAdopter(const std::string& member, std::uint64_t view, TimePoint now)
{
    if (view < m_view.number || !contains(m_view.previous, member))
        return;
    m_adopters.insert(member);
    if (!m_firstAdopterLearnedAt)
        m_firstAdopterLearnedAt = now;
}

ZoneLease::Output ZoneLease::receive(const ZoneMessage& message, TimePoint now)
{
    Output out;
    start(now);
    if (const auto* lease = std::get_if<LeaseAnswer>(&message))
        handle(*lease, now, out);
    else if (const auto* grantRequest = std::get_if<GrantRequest>(&message))
        handle(*grantRequest, now, out);
    else if (const auto* grant = std::get_if<GrantAnswer>(&message))
        handle(*grant, now, out);
    return out;
}

void ZoneLease::handle(const LeaseAnswer& answer, TimePoint now, Output& out)
{
    const auto sent = sentAt(answer.incarnation, answer.number);
    if (!sent || answer.view.zone != m_settings.zone)
        return;
    if (!answer.view.members.empty())
        out = adopt(answer.view, now);
    if (answer.view.number != m_view.number)
        return;
    m_leaderAnswered = true;
    if (m_previousViewState != PreviousViewState::Retired)
        m_previousViewState = answer.previousViewState;
    if (answer.granted)
        m_leaseEnds = std::max(m_leaseEnds.value_or(*sent), *sent + leaseDuration);
}

void ZoneLease::handle(const GrantRequest& request, TimePoint now, Output& out)
{
    if (request.zone != m_settings.zone)
        return;
    recordAdopter(request.member, request.view, now);
    GrantAnswer answer { m_settings.self, request.incarnation, request.number, m_view, false };
    if (request.view == m_view.number) {
        answer.granted = m_leaderAnswered && isMember() && contains(m_view.members, request.member);
        answer.view.members.clear();
        answer.view.previous.clear();
    }
    out.push_back({ request.member, answer });
}

void ZoneLease::handle(const GrantAnswer& answer, TimePoint now, Output& out)
{
    const auto sent = sentAt(answer.incarnation, answer.number);
    if (!sent || answer.view.zone != m_settings.zone)
        return;
    if (!answer.view.members.empty())
        out = adopt(answer.view, now);
    recordAdopter(answer.member, answer.view.number, now);
    if (m_view.number == 0)
        m_membersWithoutView[answer.member] = now;
    if (!answer.granted || answer.view.number != m_view.number)
        return;
    auto& ends = m_grantEnds[answer.member];
    ends = std::max(ends, *sent + leaseDuration);
}

} // namespace citronplank

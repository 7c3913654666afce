// Messages between the members of a zone view and the control leader.
#pragma once

#include "citronplank.h"

#include <variant>

namespace citronplank {

constexpr milliseconds leaseDuration { 2000 };     // of leases and grants, counted from the sending of the request
constexpr milliseconds leaseWithMargin { 2500 };   // leaseDuration plus 25% for the error of clock rates
constexpr milliseconds leaseRenewInterval { 500 }; // between two requests for a lease or grant
/// After this time without a request from any member of the previous view, the leader takes that view to be retired.
constexpr seconds previousViewTimeout { 60 };

/// The view that a ChangeView command creates from the current one. Thread safe.
ZoneView nextZoneView(const ZoneView& current, std::vector<std::string> members);

/// What the leader knows about the previous view.
enum class PreviousViewState : std::uint8_t {
    Leased,   // some members may still send under a lease
    Unleased, // no member has a lease; some may still send under grants to each other
    Retired,  // no member can send under it any more
};

/// Fields that identify a request and its sender, whose incarnation is `incarnation`.
struct ZoneRequest {
    std::string zone;
    std::string member;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0; // of the request, within the incarnation; echoed by the answer
    std::uint64_t view = 0;   // number of the view that the sender has adopted; 0 for none
};

/// Member to leader: asks for a lease on the adopted view.
struct LeaseRequest : ZoneRequest { };
/// Member to leader: asks to become a member of the view.
struct ViewJoin : ZoneRequest { };
/// Member to leader: asks to be removed. With `stopped` it has stopped sending and will not resume in this incarnation.
struct ViewLeave : ZoneRequest {
    bool stopped = false;
};
/// Leader to member: answers a LeaseRequest, ViewJoin or ViewLeave, with the incarnation and number of the request.
struct LeaseAnswer {
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    ZoneView view; // members and previous are left out when the request named the same view
    bool granted = false;
    PreviousViewState previousViewState = PreviousViewState::Leased;
};
/// Member to another member: asks for a grant on the adopted view.
struct GrantRequest : ZoneRequest { };
/// Member to another member: answers a GrantRequest, with the incarnation and number of the request.
struct GrantAnswer {
    std::string member; // the answering one
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    ZoneView view; // adopted by the answering member; without members when the request named the same view
    bool granted = false;
};

using ZoneMessage = std::variant<LeaseRequest, LeaseAnswer, GrantRequest, GrantAnswer, ViewJoin, ViewLeave>;

/// Thread safe.
std::string encodeZoneMessage(const ZoneMessage&);
/// Returns nothing when the bytes are malformed. Thread safe.
std::optional<ZoneMessage> decodeZoneMessage(std::string_view bytes);

/// The member with the highest rendezvous hash of leaf and member name; empty when there is no member. Thread safe.
std::string rendezvousOwner(std::string_view leaf, std::span<const std::string> members);

} // namespace citronplank

// Orders of operators that take an availability zone out of service or put it back.
//
// An operator that gets no answer in time sends its order to another control member, and may then order the opposite.
// An order must therefore have no effect once its caller has stopped waiting: this member may have been suspended with
// the order in its socket. So a member reads the version of the rules, then checks that the caller still waits, and
// then submits an edit based on that version. A later order of the same operator comes after the check, so it changes
// the line after that version, and the control log refuses the older edit as a conflict wherever it was delayed. For
// this each order writes the line of its zone, also if the zone is already as it should be.
#pragma once

#include "daemon/ControlClient.h"

namespace citronplank {

/// Passes to its argument whether the caller of an order still waits for the answer.
using CallerCheck = std::function<void(std::function<void(bool isWaiting)>)>;

struct ZoneOrder {
    std::string zone;
    bool out = true; // false: the zone is put back into service
    CallerCheck checkCaller;
};

/// Every method is thread safe.
class ZoneOrders {
public:
    using Done = std::function<void(bool accepted)>;
    /// Submits an edit to the control log. The handler runs once.
    using Submitter = std::function<void(EditRules, ControlClient::Handler)>;
    /// Returns a version of the rules that was in force at some time before the call; the newer, the fewer conflicts.
    using VersionReader = std::function<std::uint64_t()>;

    /// Operators move on to another member after a second without an answer. An order is not submitted later, also if
    /// the end of its connection did not arrive here.
    static constexpr milliseconds lifetime { 900 };

    /// `instance` is the name of this member.
    ZoneOrders(std::string instance, Submitter, VersionReader);

    /// Carries out an order while its caller waits. `done` runs once: with true if the change is in force, with false
    /// if the order was refused, abandoned or not confirmed in time. In the last case it may still take effect, but not
    /// after a later order for the zone. Precondition: this object outlives the call of `done`.
    void submit(ZoneOrder, Done, TimePoint now);

private:
    void submitAt(std::uint64_t version, ZoneOrder, Done, TimePoint deadline);
    EditRules editOf(const ZoneOrder&, std::uint64_t version) const;

    std::string m_instance;
    Submitter m_submitter;
    VersionReader m_readVersion;
};

} // namespace citronplank

-- Zone lease: which member of a zone may send to a leaf at its full limit.
--
-- The model has one leaf, one control leader, and members ranked by their hash for the leaf: the owner under a view is its
-- member with the highest rank. Every exchange may be late or never happen, so a partition needs no state of its own. A
-- request and its answer are one step, and a lease or grant lasts for its full duration from that step, which is the
-- longest it can last. Time is counted in ticks: a lease or grant ends with the first tick after it was given, a wait
-- with the second. Leases and grants are stored for the owner only, because no other member sends. Not modelled: errors
-- of clock rates, and the retirement of a view 60 s after the last contact with its members.
--
-- spec/check replaces the constants in this block.
const
  Views: 3;
  LeaseTicks: 1;
  WaitTicks: 2;
  ConfirmationRule: true; -- a new owner waits before it sends
  -- Before it sends, a new owner must have learned for every earlier view, not only for the previous one, that a member
  -- of that view has adopted a newer one.
  AllEarlierViewsRule: true;
  -- The leader changes a view only when the view before it is retired: no member can send under that one any more. This
  -- makes AllEarlierViewsRule unnecessary and is what coordination/ViewCoordinator does, so that members have to know one
  -- earlier view only.
  RetirementRule: false;
  -- The leader waits after the last lease of a member before it removes the member. The invariant holds without it,
  -- because a new owner waits for longer than a lease after it has learned of the new view.
  RemovalWaitRule: true;
  -- A restarted process has lost its view and may learn of an old one: it neither grants nor sends before it has had a
  -- lease from the leader.
  RestartRule: true;
  Restarts: false;
  GrantRule: true;        -- a member that has adopted a newer view grants nothing on an older one

type
  Member: 1 .. 3; -- a smaller number is a higher rank
  View: 0 .. Views;
  Lease: 0 .. LeaseTicks;
  Wait: 0 .. WaitTicks;

var
  latest: View;
  isMember: array [View] of array [Member] of boolean;
  removalWait: array [Member] of Wait; -- at the leader: ticks until the member may be removed
  adopted: array [Member] of View; -- 0: none
  newest: array [Member] of View; -- newest ever adopted; kept at a restart, as others may know of it
  awaitsLeader: array [Member] of boolean; -- has had no lease since its restart
  lease: array [Member] of Lease;
  grant: array [Member] of array [Member] of Lease; -- by holder, then by the member that granted it
  isConfirmed: array [Member] of boolean; -- an owner that need not wait any more
  isWaiting: array [Member] of boolean;
  wait: array [Member] of Wait; -- ticks until an owner that is waiting becomes confirmed
  isRetired: boolean; -- whether the leader knows that the view before the latest is retired
  leaderIsWaiting: boolean;
  leaderWait: Wait; -- ticks until the leader takes the view before the latest to be retired

function isOwner(m: Member; v: View): boolean;
begin
  if v = 0 | !isMember[v][m] then
    return false;
  end;
  for x: Member do
    if x < m & isMember[v][x] then
      return false;
    end;
  end;
  return true;
end;

-- A member of v has adopted a newer view, so no member can use v for longer than the duration of a lease.
function isSuperseded(v: View): boolean;
begin
  for x: Member do
    if isMember[v][x] & newest[x] > v then
      return true;
    end;
  end;
  return false;
end;

-- The views before v, of which AllEarlierViewsRule says how many, are superseded.
function areEarlierViewsSuperseded(v: View): boolean;
begin
  for u: View do
    if u >= 1 & u < v & (AllEarlierViewsRule | u = v - 1) & !isSuperseded(u) then
      return false;
    end;
  end;
  return true;
end;

-- All members of the views before v, of which AllEarlierViewsRule says how many, have adopted v or a later view.
function allAdopted(v: View): boolean;
begin
  for u: View do
    if u >= 1 & u < v & (AllEarlierViewsRule | u = v - 1) then
      for x: Member do
        if isMember[u][x] & newest[x] < v then
          return false;
        end;
      end;
    end;
  end;
  return true;
end;

function sendsAtFullLimit(m: Member): boolean;
var others: 0 .. 3;
var granted: 0 .. 3;
begin
  if !isOwner(m, adopted[m]) | !isConfirmed[m] | (RestartRule & awaitsLeader[m]) then
    return false;
  end;
  others := 0;
  granted := 0;
  for x: Member do
    if x != m & isMember[adopted[m]][x] then
      others := others + 1;
      if grant[m][x] > 0 then
        granted := granted + 1;
      end;
    end;
  end;
  return lease[m] > 0 | (others > 0 & granted = others);
end;

procedure resetMember(m: Member);
begin
  lease[m] := 0;
  isConfirmed[m] := false;
  isWaiting[m] := false;
  wait[m] := 0;
  for x: Member do
    grant[m][x] := 0;
  end;
end;

ruleset a: boolean; b: boolean; c: boolean do
startstate begin
  latest := 1;
  isRetired := true;
  leaderIsWaiting := false;
  leaderWait := 0;
  for v: View do
    for m: Member do
      isMember[v][m] := false;
    end;
  end;
  isMember[1][1] := a;
  isMember[1][2] := b;
  isMember[1][3] := c | (!a & !b);
  for m: Member do
    removalWait[m] := 0;
    resetMember(m);
    adopted[m] := 0;
    newest[m] := 0;
    awaitsLeader[m] := Restarts & !isMember[1][m];
    if isMember[1][m] then
      adopted[m] := 1;
      newest[m] := 1;
      isConfirmed[m] := isOwner(m, 1);
    end;
  end;
end;
end;

ruleset a: boolean; b: boolean; c: boolean do
  rule "commit the next view"
    latest < Views & (a | b | c) & (!RetirementRule | isRetired)
      & (!RemovalWaitRule | ((a | !isMember[latest][1] | removalWait[1] = 0) & (b | !isMember[latest][2] | removalWait[2] = 0)
        & (c | !isMember[latest][3] | removalWait[3] = 0)))
  ==> begin
    latest := latest + 1;
    isRetired := !RetirementRule;
    isMember[latest][1] := a;
    isMember[latest][2] := b;
    isMember[latest][3] := c;
  end;
end;

ruleset m: Member; v: View do
  rule "adopt a view"
    v > adopted[m] & v <= latest
  ==>
  var staysConfirmed: boolean;
  begin
    staysConfirmed := isConfirmed[m] & v = adopted[m] + 1 & isOwner(m, v);
    resetMember(m);
    adopted[m] := v;
    if v > newest[m] then
      newest[m] := v;
    end;
    isConfirmed[m] := staysConfirmed | (isOwner(m, v) & !ConfirmationRule);
  end;
end;

ruleset m: Member do
  rule "the leader grants a lease"
    adopted[m] = latest & isMember[latest][m] & (lease[m] < LeaseTicks | removalWait[m] < WaitTicks)
  ==> begin
    if isOwner(m, latest) then
      lease[m] := LeaseTicks;
    end;
    removalWait[m] := WaitTicks;
    awaitsLeader[m] := false;
  end;

  rule "learn that earlier views are superseded"
    isOwner(m, adopted[m]) & !isConfirmed[m] & !isWaiting[m] & areEarlierViewsSuperseded(adopted[m])
  ==> begin
    isWaiting[m] := true;
    wait[m] := WaitTicks;
  end;

  rule "learn that all members of earlier views have adopted this one"
    isOwner(m, adopted[m]) & !isConfirmed[m] & allAdopted(adopted[m])
  ==> begin
    isConfirmed[m] := true;
    isWaiting[m] := false;
    wait[m] := 0;
  end;

  rule "restart"
    Restarts & adopted[m] > 0
  ==> begin
    resetMember(m);
    adopted[m] := 0;
    awaitsLeader[m] := true;
  end;
end;

ruleset m: Member; x: Member do
  rule "a member grants its view to the owner"
    m != x & isOwner(m, adopted[m]) & isMember[adopted[m]][x] & grant[m][x] < LeaseTicks
      & !(RestartRule & awaitsLeader[x])
      & (adopted[x] = adopted[m] | (!GrantRule & adopted[x] > adopted[m]))
  ==> begin
    grant[m][x] := LeaseTicks;
  end;
end;

rule "leader learns that the earlier view is superseded"
  !isRetired & !leaderIsWaiting & isSuperseded(latest - 1)
==> begin
  leaderIsWaiting := true;
  leaderWait := WaitTicks;
end;

rule "leader learns that all members of the earlier view have adopted the latest"
  !isRetired & allAdopted(latest)
==> begin
  isRetired := true;
  leaderIsWaiting := false;
  leaderWait := 0;
end;

rule "tick"
  true
==> begin
  if leaderIsWaiting then
    leaderWait := leaderWait - 1;
    if leaderWait = 0 then
      leaderIsWaiting := false;
      isRetired := true;
    end;
  end;
  for m: Member do
    if lease[m] > 0 then
      lease[m] := lease[m] - 1;
    end;
    if removalWait[m] > 0 then
      removalWait[m] := removalWait[m] - 1;
    end;
    for x: Member do
      if grant[m][x] > 0 then
        grant[m][x] := grant[m][x] - 1;
      end;
    end;
    if isWaiting[m] then
      wait[m] := wait[m] - 1;
      if wait[m] = 0 then
        isWaiting[m] := false;
        isConfirmed[m] := true;
      end;
    end;
  end;
end;

invariant "no two members send to the leaf at its full limit"
  forall m: Member do
    forall x: Member do
      m != x -> !(sendsAtFullLimit(m) & sendsAtFullLimit(x))
    end
  end;

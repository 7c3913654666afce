-- Control log: elections, commit, and replacement of a member whose disk is lost.
--
-- A member of the model is one disk identity. Three are the initial voters; any one of them may lose its disk, and its
-- instance then returns as the fourth, a new identity that votes only after it was added. One more disk may be lost after
-- the repair was reported. A request and its answer are one step; a leader keeps acknowledgements that it has counted.
--
-- spec/check replaces the constants in this block. The first four limit the model, each of the others controls one
-- safeguard.
const
  MaxTerm: 3;
  MaxLog: 3;
  WithDiskLoss: true;
  MaxLeaderEntries: 3;         -- entries that the leader of one term may add
  OldIdentityVotes: false;     -- a member that lost its disk continues with an empty disk under its old identity
  OwnTermCommit: true;         -- entries of earlier terms are committed only together with one of the leader's own term
  -- The replacement catches up before it votes, and the repair is reported when the removal is committed. Omitting only
  -- the catch-up loses no committed entry, because the removal is not committed before the replacement has the log. With
  -- the early report as well, a second loss can lose a committed entry.
  ReportAfterCatchUp: true;

type
  Member: scalarset(4);
  Term: 0 .. MaxTerm;
  Index: 1 .. MaxLog;
  Length: 0 .. MaxLog;
  Role: enum { Follower, Candidate, Leader };
  Kind: enum { Value, Add, Remove };
  Entry: record
    term: Term;
    kind: Kind;
  end;

var
  -- Synced to disk before any answer.
  term: array [Member] of Term;
  vote: array [Member] of Member; -- undefined: none in this term
  len: array [Member] of Length;
  log: array [Member] of array [Index] of Entry;
  hasDisk: array [Member] of boolean; -- false: the disk is lost, or is that of the replacement before it joins
  failed: Member;      -- the first member to lose its disk; undefined until then
  replacement: Member; -- joins after that loss
  -- In memory.
  role: array [Member] of Role;
  granted: array [Member] of array [Member] of boolean; -- indexed by candidate and voter
  match: array [Member] of array [Member] of Length;    -- indexed by leader and follower
  -- Global observations, for the invariants and for the conditions of rules.
  repaired: boolean;
  hasLeader: array [Term] of boolean;
  committedLen: Length;
  committed: array [Index] of Entry;
  commitTerm: array [Index] of Term; -- term of the leader that committed the entry first
  commitChanged: boolean;
  twoLeaders: boolean;

function hasEntry(m: Member; k: Kind): boolean;
begin
  for i: Index do
    if i <= len[m] & log[m][i].kind = k then
      return true;
    end;
  end;
  return false;
end;

-- Whether x is a voter by the log of m; a membership change takes effect as soon as it is appended.
function isVoter(m: Member; x: Member): boolean;
begin
  if x = replacement then
    return hasEntry(m, Add);
  elsif !isundefined(failed) & x = failed then
    return !hasEntry(m, Remove);
  end;
  return true;
end;

function sameEntry(x: Member; y: Member; i: Index): boolean;
begin
  return i <= len[x] & i <= len[y] & log[x][i].term = log[y][i].term & log[x][i].kind = log[y][i].kind;
end;

function holdsCommitted(m: Member; i: Index): boolean;
begin
  return hasDisk[m] & i <= len[m] & log[m][i].term = committed[i].term & log[m][i].kind = committed[i].kind;
end;

function isCommittedAt(m: Member; i: Index): boolean;
begin
  return i <= committedLen & holdsCommitted(m, i);
end;

function ownTermCommitted(m: Member): boolean;
begin
  for i: Index do
    if isCommittedAt(m, i) & log[m][i].term = term[m] then
      return true;
    end;
  end;
  return false;
end;

function kindCommitted(m: Member; k: Kind): boolean;
begin
  for i: Index do
    if isCommittedAt(m, i) & log[m][i].kind = k then
      return true;
    end;
  end;
  return false;
end;

function ownEntries(m: Member): Length;
var n: Length;
begin
  n := 0;
  for i: Index do
    if i <= len[m] & log[m][i].term = term[m] then
      n := n + 1;
    end;
  end;
  return n;
end;

function lastTerm(m: Member): Term;
begin
  if len[m] = 0 then
    return 0;
  end;
  return log[m][len[m]].term;
end;

procedure resetVolatileState(m: Member);
begin
  role[m] := Follower;
  for x: Member do
    granted[m][x] := false;
    match[m][x] := 0;
  end;
end;

procedure adoptTerm(m: Member; t: Term);
begin
  if t > term[m] then
    term[m] := t;
    undefine vote[m];
    resetVolatileState(m);
  end;
end;

procedure truncateLog(m: Member; n: Length);
begin
  for i: Index do
    if i > n then
      log[m][i].term := 0;
      log[m][i].kind := Value;
    end;
  end;
  len[m] := n;
end;

procedure eraseDisk(m: Member);
begin
  term[m] := 0;
  undefine vote[m];
  truncateLog(m, 0);
  resetVolatileState(m);
end;

procedure append(m: Member; k: Kind);
begin
  len[m] := len[m] + 1;
  log[m][len[m]].term := term[m];
  log[m][len[m]].kind := k;
end;

ruleset r: Member do
startstate begin
  undefine failed;
  replacement := r;
  for m: Member do
    eraseDisk(m);
    hasDisk[m] := m != r;
  end;
  repaired := false;
  for t: Term do
    hasLeader[t] := false;
  end;
  committedLen := 0;
  for i: Index do
    committed[i].term := 0;
    committed[i].kind := Value;
    commitTerm[i] := 0;
  end;
  commitChanged := false;
  twoLeaders := false;
end;
end;

ruleset m: Member do
  -- A leader may start an election as well. A restart needs no rule of its own, because a leader or candidate that does
  -- nothing behaves like the follower that it would be after a restart.
  rule "start election"
    hasDisk[m] & isVoter(m, m) & term[m] < MaxTerm
  ==> begin
    adoptTerm(m, term[m] + 1);
    role[m] := Candidate;
    vote[m] := m;
    granted[m][m] := true;
  end;

  rule "become leader"
    hasDisk[m] & role[m] = Candidate
  ==>
  var voters: 0 .. 4;
  var votes: 0 .. 4;
  begin
    voters := 0;
    votes := 0;
    for x: Member do
      if isVoter(m, x) then
        voters := voters + 1;
        if granted[m][x] then
          votes := votes + 1;
        end;
      end;
    end;
    if 2 * votes > voters then
      resetVolatileState(m);
      role[m] := Leader;
      twoLeaders := twoLeaders | hasLeader[term[m]];
      hasLeader[term[m]] := true;
    end;
  end;

  rule "append a value"
    hasDisk[m] & role[m] = Leader & len[m] < MaxLog & ownEntries(m) < MaxLeaderEntries
  ==> begin
    append(m, Value);
  end;

  rule "add the replacement"
    hasDisk[m] & role[m] = Leader & len[m] < MaxLog & hasDisk[replacement] & !hasEntry(m, Add) & ownTermCommitted(m)
      & (!ReportAfterCatchUp | (forall i: Index do i <= committedLen -> sameEntry(m, replacement, i) end))
  ==> begin
    append(m, Add);
    if !ReportAfterCatchUp then
      repaired := true;
    end;
  end;

  rule "remove the old identity"
    hasDisk[m] & role[m] = Leader & len[m] < MaxLog & kindCommitted(m, Add) & !hasEntry(m, Remove) & ownTermCommitted(m)
  ==> begin
    append(m, Remove);
  end;

  rule "report the repair"
    hasDisk[m] & role[m] = Leader & !repaired & kindCommitted(m, Remove)
  ==> begin
    repaired := true;
  end;

  rule "lose a disk"
    WithDiskLoss & isundefined(failed) & m != replacement
  ==> begin
    failed := m;
    eraseDisk(m);
    if !OldIdentityVotes then
      hasDisk[m] := false;
      hasDisk[replacement] := true;
    end;
  end;

  rule "lose another disk"
    repaired & hasDisk[m] & (forall x: Member do x = failed | hasDisk[x] end)
  ==> begin
    eraseDisk(m);
    hasDisk[m] := false;
  end;
end;

ruleset c: Member; v: Member do
  rule "vote"
    c != v & hasDisk[c] & hasDisk[v] & role[c] = Candidate & isVoter(c, v) & !granted[c][v] & term[c] >= term[v]
      & (term[c] > term[v] | isundefined(vote[v]) | vote[v] = c)
      & (lastTerm(c) > lastTerm(v) | (lastTerm(c) = lastTerm(v) & len[c] >= len[v]))
  ==> begin
    adoptTerm(v, term[c]);
    vote[v] := c;
    granted[c][v] := true;
  end;

  -- The leader sends one entry at a time. The replacement gets entries as a learner before it is a voter.
  rule "append to follower"
    c != v & hasDisk[c] & hasDisk[v] & role[c] = Leader & term[c] >= term[v]
  ==>
  var p: Length;
  var matches: boolean;
  begin
    adoptTerm(v, term[c]);
    if role[v] = Candidate then
      resetVolatileState(v);
    end;
    p := 0;
    matches := true;
    for i: Index do
      if matches & sameEntry(c, v, i) then
        p := i;
      else
        matches := false;
      end;
    end;
    if p < len[c] then
      truncateLog(v, p);
      p := p + 1;
      len[v] := p;
      log[v][p] := log[c][p];
    end;
    match[c][v] := p;
  end;
end;

ruleset m: Member; n: Index do
  rule "commit"
    hasDisk[m] & role[m] = Leader & n <= len[m] & (!OwnTermCommit | log[m][n].term = term[m])
      & (n > committedLen | !holdsCommitted(m, n))
  ==>
  var voters: 0 .. 4;
  var copies: 0 .. 4;
  begin
    voters := 0;
    copies := 0;
    for x: Member do
      if isVoter(m, x) then
        voters := voters + 1;
        if x = m | match[m][x] >= n then
          copies := copies + 1;
        end;
      end;
    end;
    if 2 * copies > voters then
      for i: Index do
        if i <= n then
          if i > committedLen then
            committed[i] := log[m][i];
            commitTerm[i] := term[m];
          elsif !holdsCommitted(m, i) then
            commitChanged := true;
          end;
        end;
      end;
      if n > committedLen then
        committedLen := n;
      end;
    end;
  end;
end;

invariant "one leader for each term"
  !twoLeaders;

invariant "a committed entry is never changed"
  !commitChanged;

invariant "a later leader holds every committed entry"
  forall m: Member do
    forall i: Index do
      (hasDisk[m] & role[m] = Leader & i <= committedLen & term[m] > commitTerm[i]) -> holdsCommitted(m, i)
    end
  end;

invariant "a committed entry is on some disk"
  forall i: Index do
    i <= committedLen -> exists m: Member do holdsCommitted(m, i) end
  end;

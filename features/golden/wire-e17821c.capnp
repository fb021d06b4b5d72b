@0xb8d1f0c45e2a9d17;
# Messages between the processes of the system.  Fields and union members are
# only ever added, with new numbers, so that two releases can run side by side:
# a reader skips fields that it does not know and answers `unsupported` to a
# member that it does not know.

struct Envelope {
  version @0 :UInt16;    # protocol version of the sender
  hlc @1 :UInt64;        # hybrid clock stamp
  call @2 :UInt64;       # number that a reply repeats, 0 for one-way messages
  reply @3 :Bool;
  body :union {
    none @4 :Void;
    hello @5 :Hello;
    welcome @6 :Welcome;
    refusal @7 :Refusal;
    ack @8 :Ack;
    subscribe @9 :Subscribe;
    memberView @10 :MemberView;
    configUpdate @11 :ConfigUpdate;
    admit @12 :Admit;
    grant @13 :Grant;
    progress @14 :Progress;
    release @15 :Release;
    holdings @16 :Holdings;
    endpointReport @17 :EndpointReport;
    cacheEvents @18 :CacheEvents;
    heartbeat @19 :Heartbeat;
    configFetch @20 :ConfigFetch;
    configAnnounce @21 :ConfigAnnounce;
    statsRequest @22 :StatsRequest;
    stats @23 :Stats;
    drain @24 :Drain;
    cancelGeneration @25 :CancelGeneration;
    learned @26 :Learned;
    whoHolds @27 :WhoHolds;
    held @28 :Held;
    memberSync @29 :MemberSync;
    hedge @30 :Hedge;
    gatewayState @31 :GatewayState;
    storeNews @32 :StoreNews;
    storeAsk @33 :StoreAsk;
    storeVouch @34 :StoreVouch;
    peerSilent @35 :PeerSilent;
    domainLoad @36 :DomainLoad;
    partNews @37 :PartNews;
    limitNews @38 :LimitNews;
    catchUpAsk @39 :CatchUpAsk;
    catchUpReply @40 :CatchUpReply;
    pathAsk @41 :PathAsk;
    pathOpinion @42 :PathOpinion;
    brittleNews @43 :BrittleNews;
  }
}

struct Hello {
  node @0 :Text;
  role @1 :Text;
  failureDomain @2 :Text;
  incarnation @3 :UInt64;
  release @4 :Text;
  nonce @5 :Text;
  proof @6 :Text;
}

struct Welcome {
  node @0 :Text;
  role @1 :Text;
  incarnation @2 :UInt64;
  proof @3 :Text;
  nonce @4 :Text;        # the challenge, in the first message of a link
}

struct Refusal {
  code @0 :UInt16;
  reason @1 :Text;
  run @2 :Text;
  retryAfterS @3 :Float64;
}

struct Ack {
  revision @0 :UInt64;
}

struct Subscribe {
  revision @0 :UInt64;
}

struct Member {
  name @0 :Text;
  failureDomain @1 :Text;
  region @2 :Text;
  address @3 :Text;
  entryPort @4 :UInt16;
  schedulerPort @5 :UInt16;
  controllerPort @6 :UInt16;
  incarnation @7 :UInt64;
  state @8 :Text;
  revision @9 :UInt64;
  load @10 :UInt32;
  entryDown @11 :Bool;      # the host's entry process does not answer
  schedulerDown @12 :Bool;  # the host's scheduler process does not answer
}

struct MemberView {
  members @0 :List(Member);
  leavingEndpoints @1 :List(Text);
  partial @2 :Bool;            # only what changed since the last view
  removed @3 :List(Text);
  domains @4 :List(DomainDigest);
  leavingStamp @5 :UInt64;
  wanted @6 :List(Text);       # names whose records the answerer lacks
  platformContactMs @7 :UInt64;
  peerContactMs @8 :UInt64;
  cutOff @9 :Bool;
}

struct DomainDigest {
  failureDomain @0 :Text;
  node @1 :Text;
  stamp @2 :UInt64;
  hosts @3 :UInt32;
  behind @4 :UInt32;
  revision @5 :UInt64;
  newest @6 :UInt64;
}

struct MemberDigest {
  name @0 :Text;
  incarnation @1 :UInt64;
  state @2 :Text;
}

struct MemberSync {
  node @0 :Text;
  digests @1 :List(MemberDigest);
  members @2 :List(Member);
}

struct Part {
  name @0 :Text;
  digest @1 :Text;
  body @2 :Data;
}

struct ConfigUpdate {
  revision @0 :UInt64;
  manifest @1 :Data;
  parts @2 :List(Part);
}

struct ConfigFetch {
  revision @0 :UInt64;
  parts @1 :List(Text);
}

struct ConfigAnnounce {
  revision @0 :UInt64;
  node @1 :Text;
}

struct Admit {
  request @0 :Text;
  workspace @1 :Text;
  model @2 :Text;
  kind @3 :Text;
  priority @4 :Int32;
  promptTokens @5 :UInt32;
  maxTokens @6 :UInt32;
  deadlineMs @7 :UInt32;
  prefixes @8 :List(UInt64);
  excluded @9 :List(Text);
  attempt @10 :UInt16;
  pool @11 :Text;
  reservation @12 :Text;
  hedgeable @13 :Bool;   # the caller has no token of it yet
  hedges @14 :Text;      # the reservation whose second attempt this is
  softwareVersion @15 :Text;  # the only one that may serve it, empty for any
}

struct Grant {
  reservation @0 :Text;
  endpoint @1 :Text;
  queuedUs @2 :UInt64;
  enginePriority @3 :Int32;
}

struct ProgressItem {
  reservation @0 :Text;
  produced @1 :UInt32;
  gapUs @2 :UInt32;
  firstTokenUs @3 :UInt32;
}

struct Progress {
  items @0 :List(ProgressItem);
}

struct Release {
  reservation @0 :Text;
  produced @1 :UInt32;
  outcome @2 :Text;
  firstTokenUs @3 :UInt32;
  gapUs @4 :UInt32;
}

struct Holding {
  reservation @0 :Text;
  endpoint @1 :Text;
  workspace @2 :Text;
  model @3 :Text;
  kind @4 :Text;
  priority @5 :Int32;
  promptTokens @6 :UInt32;
  produced @7 :UInt32;
  maxTokens @8 :UInt32;
  generation @9 :Text;
  taken @10 :UInt64;
  hedges @11 :Text;      # the reservation whose second attempt this is
  hedgeable @12 :Bool;
  softwareVersion @13 :Text;  # of the endpoint when the place was taken
}

struct Holdings {
  pool @0 :Text;
  items @1 :List(Holding);
  added @2 :Bool;
}

struct EndpointReport {
  endpoint @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  usedTokens @3 :UInt64;
  totalTokens @4 :UInt64;
  ageMs @5 :UInt32;
  leaving @6 :Bool;
  reachable @7 :Bool;
  models @8 :List(Text);
  preemptions @9 :UInt64;
}

struct CacheEvents {
  endpoint @0 :Text;
  firstSeq @1 :UInt64;
  lastSeq @2 :UInt64;
  stored @3 :List(UInt64);
  removed @4 :List(UInt64);
  cleared @5 :Bool;
}

struct Heartbeat {
  node @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :UInt64;
  members @3 :List(Member);
  proof @4 :Text;
  reply @5 :Bool;
  kind @6 :Text;
  sequence @7 :UInt64;
  target @8 :Text;
  digest @9 :UInt64;
  domains @10 :List(DomainDigest);
  leavingStamp @11 :UInt64;
  records @12 :List(Data);  # packed members
}

struct StatsRequest {
  kind @0 :Text;
  since @1 :UInt64;
}

struct Stats {
  text @0 :Text;
}

struct Drain {
  node @0 :Text;
  on @1 :Bool;
}

struct CancelGeneration {
  endpoint @0 :Text;
  generation @1 :Text;
}

struct Learned {
  node @0 :Text;
  body @1 :Data;
  pool @2 :Text;
}

# Asks an entry to try a generation at a second endpoint as well.
struct Hedge {
  reservation @0 :Text;
}

struct WhoHolds {
  endpoint @0 :Text;
  generations @1 :List(Text);
}

struct Held {
  generations @0 :List(Text);
  settled @1 :Bool;
}

# A gateway's sign of life, and the places at engines that it holds.
struct GatewayState {
  node @0 :Text;
  failureDomain @1 :Text;
  callers @2 :Text;        # address:port for callers
  incarnation @3 :UInt64;
  sequence @4 :UInt64;     # rises with each message of one incarnation
  serving @5 :Bool;        # whether callers may be sent there
  full @6 :Bool;           # whether `holdings` are all that it holds
  holdings @7 :List(Holdings);
  ended @8 :List(Release);
  contactMs @9 :UInt32;    # not used any more
  nextMs @10 :UInt32;      # until its next heartbeat to the receiver, 0 in other messages
  relay @11 :Text;         # address:port for requests that other gateways pass on
  unreachable @12 :List(Text);  # services whose endpoints it can't connect to
}

# Reports a gateway that `node`, one of its monitors, hears nothing of.
struct PeerSilent {
  node @0 :Text;
  gateway @1 :Text;
  incarnation @2 :UInt64;  # of the silent gateway
}

# The gateways of a failure domain and their load on engines, in aggregate.
struct DomainLoad {
  node @0 :Text;           # the gateway that wrote it
  failureDomain @1 :Text;
  stamp @2 :UInt64;        # time of the hybrid clock
  serving @3 :UInt32;      # number of gateways that callers may be sent to
  callers @4 :List(Text);  # addresses of some of them
  engines @5 :List(EngineLoad);
  forwarded @6 :Bool;      # whether this is a copy sent on within a domain
  limits @7 :List(DomainLimit);
}

# The limit that an endpoint names, as the gateways of a failure domain know it.
struct DomainLimit {
  endpoint @0 :Text;
  requests @1 :Float64;    # those that they would have sent lately
  limited @2 :Bool;        # whether the newest answer names a limit
  perS @3 :Float64;        # requests a second, of all gateways together
  stamp @4 :UInt64;        # time of the hybrid clock of that answer
}

struct EngineLoad {
  pool @0 :Text;
  endpoint @1 :Text;
  tokens @2 :UInt64;       # expected peak of the KV memory used
  requests @3 :UInt32;
}

# Changes of one kind of the platform's objects, as a watcher saw them.
struct StoreNews {
  node @0 :Text;
  kind @1 :Text;
  before @2 :UInt64;       # version of the change before these
  version @3 :UInt64;      # version of the last of these
  changes @4 :List(StoreChange);
  returning @5 :Bool;      # whether the store has just come back
  beforeEra @6 :UInt64;    # the store's era of `before`
  versionEra @7 :UInt64;   # the store's era of `version`
  full @8 :Bool;           # whether these are all objects of the kind
}

struct StoreChange {
  name @0 :Text;
  version @1 :UInt64;
  value @2 :Data;          # JSON, compressed by zlib; empty for a removal
  versionEra @3 :UInt64;   # the store's era of `version`
}

# Asks a watcher what it knows; `stamp` is the asker's own clock, `known` is up
# to where the asker knows each kind.
struct StoreAsk {
  node @0 :Text;
  stamp @1 :UInt64;
  known @2 :List(StoreState);
}

struct StoreVouch {
  node @0 :Text;
  stamp @1 :UInt64;        # as it was asked
  items @2 :List(StoreState);
}

struct StoreState {
  kind @0 :Text;
  version @1 :UInt64;      # version of the last change known
  ageMs @2 :UInt32;        # time since nothing newer existed for certain
  versionEra @3 :UInt64;   # the store's era of `version`
}

# What a gateway knows of parts of prompts that may crash engines.
struct PartNews {
  node @0 :Text;
  items @1 :List(PartEvidence);
  forwarded @2 :Bool;      # whether this is a copy sent on within a domain
  wanted @3 :Bool;         # whether `node` asks for what the receiver knows
}

struct PartEvidence {
  part @0 :Text;
  crashes @1 :List(Crash);
  forgiven @2 :List(Crash);
  answers @3 :UInt32;      # answered prompts with the part
  depth @4 :UInt16;        # place of the part in the prompt
  term @5 :UInt32;         # number of quarantines of the part
  lifted @6 :Bool;         # whether the newest of them was ended by an answer
  remainingMs @7 :UInt32;  # until the newest of them ends
  trialMs @8 :UInt32;      # for how long the sender may be trying a request with it
}

struct Crash {
  endpoint @0 :Text;
  stampMs @1 :UInt64;      # time of the hybrid clock
  beganMs @2 :UInt64;      # since when the suspect's request was in progress
}

# Limits on the rate of requests that endpoints name, and requests sent to those.
struct LimitNews {
  node @0 :Text;
  items @1 :List(EndpointLimit);
}

struct EndpointLimit {
  endpoint @0 :Text;
  limited @1 :Bool;        # whether the newest answer names a limit
  perS @2 :Float64;        # requests a second, of all gateways together
  stamp @3 :UInt64;        # time of the hybrid clock of that answer
  isRequest @4 :Bool;      # whether `node` sends the endpoint a request now
  debtMs @5 :UInt32;       # for how long booked requests fill the schedule
  demand @6 :Float64;      # requests that `node` would have sent lately
}

# Endpoints that bear few refusals, and their refusals.
struct BrittleNews {
  node @0 :Text;
  items @1 :List(BrittleEndpoint);
}

struct BrittleEndpoint {
  endpoint @0 :Text;
  brittle @1 :Bool;        # whether the newest answer says so
  refusalsPerS @2 :Float64;  # how many a second it bears, by all gateways together
  stamp @3 :UInt64;        # time of the hybrid clock of that answer
  refused @4 :Bool;        # whether it has just refused a request of `node`
}

# Asks what the receiver knows beyond the revision of a configuration.
struct CatchUpAsk {
  node @0 :Text;
  revision @1 :UInt64;
}

# What a gateway knows that a store which returned from a copy may lack.
struct CatchUpReply {
  node @0 :Text;
  settled @1 :Bool;        # whether it served before it was asked
  revision @2 :UInt64;     # of its configuration
  config @3 :List(StoreChange);  # its object, if newer than the asker's
  behindMs @4 :UInt32;     # for how long the store has held an older one
  departed @5 :List(DepartedEndpoint);
}

struct DepartedEndpoint {
  name @0 :Text;
  address @1 :Text;
  incarnation @2 :UInt64;
  era @3 :UInt64;          # the store's era when it left
  ageMs @4 :UInt32;
}

# Asks whether the receiver can connect to an endpoint.
struct PathAsk {
  node @0 :Text;
  number @1 :UInt64;       # repeated by the answer
  endpoint @2 :Text;
}

struct PathOpinion {
  node @0 :Text;
  number @1 :UInt64;
  connects @2 :Bool;
}

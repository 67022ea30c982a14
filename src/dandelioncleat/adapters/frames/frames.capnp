@0xb3c1a7e94d2f6085;

# A call from one process to another, or a reply to it.
struct Frame {
  call @0 :UInt64;
  # Number of the call on this connection.

  kind @1 :Kind;

  version @2 :UInt64;
  # Configuration version in force at the sender.

  traceparent @3 :Text;
  # W3C trace context; set in calls only.

  body :union {
    none @4 :Void;
    attach @5 :Attach;
    begin @6 :Begin;
    placed @7 :Placed;
    notHome @8 :NotHome;
    refusal @9 :Refusal;
    accepted @10 :Accepted;
    dispatch @11 :Dispatch;
    resume @12 :Resume;
    chunk @13 :Chunk;
    finished @14 :Finished;
    sealRun @15 :SealRun;
    sealed @16 :Sealed;
    cancel @17 :Cancel;
    report @18 :Report;
    watchLoad @19 :WatchLoad;
    load @20 :Load;
    askPart @21 :AskPart;
    part @22 :Part;
    appendEnvelope @23 :AppendEnvelope;
    askEntries @24 :AskEntries;
    streamEntries @25 :StreamEntries;
    askStatus @26 :AskStatus;
    status @27 :Status;
    noteGuard @28 :NoteGuard;
    askTokenCount @29 :AskTokenCount;
    tokenCount @30 :TokenCount;
    listTopic @31 :ListTopic;
    readTopic @32 :ReadTopic;
    appendTopic @33 :AppendTopic;
    topicRecords @34 :TopicRecords;
    topicRejected @35 :TopicRejected;
    askTime @36 :AskTime;
    timeTold @37 :TimeTold;
  }

  enum Kind {
    call @0;
    reply @1;
    end @2;
    failed @3;
    cancel @4;
  }
}

struct Attach {
  request @0 :RequestKey;
  service @1 :Text;
  body @2 :Text;
  idempotent @3 :Bool;
  executor @4 :Text;
  ageMs @5 :Int64;
}

struct RequestKey {
  organisation @0 :Text;
  key @1 :Text;
}

struct Begin {
  run @0 :RunId;
  executor @1 :Text;
}

struct RunId {
  organisation @0 :Text;
  key @1 :Text;
  home @2 :Text;
  attempt @3 :Int64;
}

struct Placed {
  run @0 :RunId;
  executor @1 :Text;
}

struct NotHome {
  owner @0 :Text;
}

struct Refusal {
  code @0 :Text;
  step @1 :Text;
  peer @2 :Text;
  text @3 :Text;
  retryAfterMs @4 :Int64;
  ran @5 :Bool;
}

struct Accepted {
}

struct Dispatch {
  run @0 :RunId;
  executor @1 :Text;
  router @2 :Text;
  service @3 :Text;
  method @4 :Text;
  path @5 :Text;
  contentType @6 :Text;
  body @7 :Data;
  digest @8 :Text;
  idempotent @9 :Bool;
  budget @10 :Text;
  draws @11 :List(Draw);
  promptBound @12 :Int64;
  cap @13 :Int64;
  priority @14 :Int64;
  deadlineMs @15 :Int64;
}

struct Draw {
  grant @0 :GrantId;
  tokens @1 :Int64;
}

struct GrantId {
  holder @0 :Text;
  number @1 :Int64;
}

struct Resume {
  run @0 :RunId;
  executor @1 :Text;
  start @2 :Int64;
}

struct Chunk {
  run @0 :RunId;
  start @1 :Int64;
  data @2 :Data;
  tokens @3 :Int64;
}

struct Finished {
  run @0 :RunId;
  status @1 :Int64;
  contentType @2 :Text;
  size @3 :Int64;
  promptTokens @4 :Int64;
  outputTokens @5 :Int64;
  tokens @6 :Int64;
  reason @7 :Text;
  complete @8 :Bool;
}

struct SealRun {
  run @0 :RunId;
  executor @1 :Text;
}

struct Sealed {
  run @0 :RunId;
  ran @1 :Bool;
}

struct Cancel {
  run @0 :RunId;
}

struct Report {
  run @0 :RunId;
  status @1 :Int64;
  ran @2 :Bool;
}

struct WatchLoad {
}

struct Load {
  target @0 :Text;
  sidecar @1 :Text;
  leaving @2 :Bool;
  slots @3 :Int64;
  running @4 :Int64;
  queued @5 :Int64;
  demandTokens @6 :Int64;
  kvTokens @7 :Int64;
  ageMs @8 :Int64;
  prefixes @9 :List(Text);
  evicted @10 :List(Text);
  isWhole @11 :Bool;
}

struct AskPart {
  budget @0 :Text;
  tokens @1 :Int64;
  holder @2 :Text;
}

struct Part {
  budget @0 :Text;
  draws @1 :List(Draw);
}

struct AppendEnvelope {
  stream @0 :Text;
  data @1 :Data;
}

struct AskEntries {
  stream @0 :Text;
  start @1 :Int64;
  limit @2 :Int64;
  waitMs @3 :Int64;
}

struct StreamEntry {
  offset @0 :Int64;
  appendedAt @1 :Float64;
  data @2 :Data;
}

struct StreamEntries {
  end @0 :Int64;
  entries @1 :List(StreamEntry);
}

struct NoteGuard {
  owner @0 :Text;
  seen @1 :Float64;
}

struct AskStatus {
}

struct Status {
  incarnation @0 :Text;
  role @1 :Text;
  state @2 :Text;
  version @3 :Int64;
  digest @4 :Text;
  details @5 :Data;
}

struct AskTokenCount {
  path @0 :Text;
  contentType @1 :Text;
  body @2 :Data;
}

struct TokenCount {
  tokens @0 :Int64;
}

struct KeyedRecord {
  key @0 :Text;
  value @1 :Data;
  offset @2 :Int64;
}

struct ListTopic {
  topic @0 :Text;
}

struct ReadTopic {
  topic @0 :Text;
  start @1 :Int64;
  waitMs @2 :Int64;
}

struct AppendTopic {
  topic @0 :Text;
  records @1 :List(KeyedRecord);
  at @2 :Int64;
  producer @3 :Text;
  epoch @4 :Int64;
  sequence @5 :Int64;
}

struct TopicRecords {
  end @0 :Int64;
  records @1 :List(KeyedRecord);
  era @2 :Int64;
}

struct AskTime {
}

struct TimeTold {
  wallS @0 :Float64;
}

struct TopicRejected {
  reason @0 :Text;
}

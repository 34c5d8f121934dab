@0xd3c1a7f05b8e9246;
# Messages between entry hosts. Hosts, cells, accounts and backend servers are
# identified by 32-bit keys (`shares.make_key`), which keeps a full gossip
# message of 9 hosts within 600 bytes. `messages.py` enforces the list bounds.

struct Message {
  version @0 :UInt16;
  sender @1 :Text;
  union {
    gossip @2 :Gossip;
    jobHint @3 :JobHint;
  }
}

struct Gossip {
  incarnation @0 :UInt64;
  counter @1 :UInt32;
  state @2 :UInt16;  # 0 live, 1 leaving
  configVersion @3 :UInt64;
  # Members are stored as three lists of equal length, which decode faster than
  # a list of structs. The first `liveMembers` entries are live, the rest are
  # leaving.
  memberHosts @4 :List(UInt32);
  memberCounters @5 :List(UInt32);
  memberIncarnations @6 :List(UInt64);
  liveMembers @7 :UInt16;
  epochs @8 :List(Epoch);
  demand @9 :List(KeyedValue);  # by account, in 0.001 requests per second
  leaving @10 :List(KeyedValue);  # by backend server, age of the report in ms
  queueDepths @11 :List(KeyedValue);  # by account, number of queued jobs
}

struct Epoch {
  cell @0 :UInt32;
  owner @1 :UInt32;  # key of the host
  epoch @2 :UInt64;
}

struct KeyedValue {
  key @0 :UInt32;
  value @1 :UInt32;
}

struct JobHint {
  cell @0 :UInt32;
  jobId @1 :Text;
  kind @2 :UInt16;  # 0 accepted, 1 ended, 2 cancel
}

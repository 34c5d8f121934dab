@0xd3c1a7f05b8e9246;
# Messages between entry hosts. Hosts, cells, accounts and backend servers are
# named by 32-bit keys (`shares.make_key`), which keeps a full gossip message
# within 600 bytes. List bounds are enforced by `messages.py`.

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
  # Members as three lists of equal length, which are read faster than a list
  # of structs. The first `liveMembers` of them are live, the rest leaving.
  memberHosts @4 :List(UInt32);
  memberCounters @5 :List(UInt32);
  memberIncarnations @6 :List(UInt64);
  liveMembers @7 :UInt16;
  epochs @8 :List(Epoch);
  demand @9 :List(KeyedValue);  # account, thousandths of a request per second
  leaving @10 :List(KeyedValue);  # backend server, age of the mark in ms
  queueDepths @11 :List(KeyedValue);  # account, queued jobs
}

struct Epoch {
  cell @0 :UInt32;
  owner @1 :UInt32;  # host
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

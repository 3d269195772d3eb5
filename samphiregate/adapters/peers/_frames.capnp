@0xb3f2a9c4d1e87065;

# Messages between entry VMs. Fields are only ever added, at the end.

struct Frame {
  # One message: the class name, its fields as JSON, and its byte fields.
  kind @0 :Text;
  fields @1 :Data;
  payloads @2 :List(Data);
}

struct Batch {
  # Frames in the order in which they were sent.
  sequence @0 :UInt64;
  frames @1 :List(Frame);
}

struct Challenge {
  # The accepting side's first message on a connection.
  version @0 :UInt16;
  nonce @1 :Data;
}

struct Hello {
  # The connecting side's answer to a challenge.
  version @0 :UInt16;
  sender @1 :Text;
  nonce @2 :Data;
  proof @3 :Data;
}

struct Progress {
  # Tells the connecting side how far its batches were taken in.
  sequence @0 :UInt64;
}

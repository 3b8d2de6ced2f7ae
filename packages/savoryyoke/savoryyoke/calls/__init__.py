"""Run each non-idempotent call at most once and report truthfully on it.

``keys`` binds a call to the one process that may ever run it. ``ledger``
decides inside that process and records the result. ``attempts`` sends a
caller's attempt from an entry to the ledger. ``routes`` finds the process
that decides on a key. Terms used throughout:

* incarnation: the random 64-bit number of one target process;
* window: a fixed interval of the clock of an incarnation; a key is accepted
  and its record is kept for a number of windows;
* stamp: the clock of an incarnation, in milliseconds, that its ledger sends
  to the entries;
* attempt: one request of a caller for a call; a caller may repeat a call,
  through any entry;
* seal: a mark on a key that voids every attempt that arrived before it;
* floor: the lowest value that is still valid, for all keys without a record;
* heir: the process that takes over the ledger of a target that is leaving.
"""

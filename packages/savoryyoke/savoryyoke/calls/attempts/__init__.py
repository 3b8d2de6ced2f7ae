"""Carry a caller's attempt of a non-idempotent call through an entry.

``machine`` is the state machine of one attempt, ``pauses`` detects that the
entry was frozen, and ``carried`` remembers answers the entry has passed on.
"""

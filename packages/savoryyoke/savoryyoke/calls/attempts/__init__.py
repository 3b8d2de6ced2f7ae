"""Forward a caller's attempt of a non-idempotent call from an entry.

``machine`` is the state machine of one attempt, ``pauses`` detects that the
entry was paused, and ``forwarded`` keeps the answers sent to callers.
"""

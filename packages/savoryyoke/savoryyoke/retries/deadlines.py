"""Carry the time left for a call from hop to hop as a duration.

No hop trusts another's clock: a receiver turns the duration into a time
on its own monotonic clock, and a sender into a smaller duration.
"""

import dataclasses

from savoryyoke.retries import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deadline:
    """Hold when a call must be answered, on this process's clock."""

    at_s: float

    @classmethod
    def start(cls, *, remaining_s, received_s):
        """Return the deadline of a request that came in.

        ``received_s`` is when its first byte was read; a process that was
        frozen afterwards finds the deadline passed.
        """
        return cls(at_s=received_s + remaining_s)

    def remaining_s(self, *, now_s):
        """Return the time left, 0.0 once it has passed."""
        return max(self.at_s - now_s, 0.0)

    def for_next_hop_s(self, *, now_s, allowance_s=conf.HOP_ALLOWANCE_S):
        """Return the duration to send on.

        It leaves ``allowance_s`` each for the request and its answer.
        """
        return max(self.remaining_s(now_s=now_s) - 2 * allowance_s, 0.0)

    def allows_try(self, *, now_s):
        """Tell whether another try could still be answered in time."""
        return self.for_next_hop_s(now_s=now_s) >= conf.SHORTEST_TRY_S

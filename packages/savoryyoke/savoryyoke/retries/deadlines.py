"""Pass the remaining time of a call from hop to hop as a duration.

Durations avoid clock synchronisation: a receiver converts the duration into
a time on its own monotonic clock, and subtracts the elapsed time and an
allowance for the network before it sends the call on.
"""

import dataclasses

from savoryyoke.retries import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deadline:
    """Store when a call must be answered, in seconds of the local clock."""

    at_s: float

    @classmethod
    def start(cls, *, remaining_s, received_s):
        """Return the deadline of a received request.

        ``received_s`` is when its first byte was read, so time during
        which the process was suspended afterwards is counted as well.
        """
        return cls(at_s=received_s + remaining_s)

    def remaining_s(self, *, now_s):
        """Return the remaining seconds, or 0.0 after the deadline."""
        return max(self.at_s - now_s, 0.0)

    def for_next_hop_s(self, *, now_s, allowance_s=conf.HOP_ALLOWANCE_S):
        """Return the remaining time in seconds to send to the next hop.

        Subtracts ``allowance_s`` for the request and again for its answer.
        """
        return max(self.remaining_s(now_s=now_s) - 2 * allowance_s, 0.0)

    def allows_try(self, *, now_s):
        """Return whether another try can still be answered in time."""
        return self.for_next_hop_s(now_s=now_s) >= conf.SHORTEST_TRY_S

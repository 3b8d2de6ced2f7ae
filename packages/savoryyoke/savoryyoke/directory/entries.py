"""Track the state of one entry of the fleet."""

import bisect
import dataclasses
import math

from savoryyoke.directory import decisions
from savoryyoke.routing import lateness


@dataclasses.dataclass(frozen=True, kw_only=True)
class RemovedEntry:
    """Record the last incarnation of an entry that was removed.

    The same incarnation may be added again, for example after it was cut
    off, but one that was leaving stays so.
    """

    incarnation: int
    leaving: bool
    expires_at_s: float


class EntryState:
    """Track the last message and the weight of an entry."""

    def __init__(self, *, event, settings):
        self._settings = settings
        self.entry_id = event.entry_id
        self.incarnation = event.incarnation
        self.data_centre = event.data_centre
        self.address = event.address
        self.leaving = False
        self.last_message_at_s = None
        self._stamp_s = None
        self._lateness = lateness.LatenessEstimator()
        self._load_step = 0

    def record_message(self, message, *, now_s):
        """Record a message; return the reason to reject it, or None."""
        if not _is_valid(message):
            return decisions.RejectionReason.ABSURD_VALUE
        if self._stamp_s is not None and message.stamp_s <= self._stamp_s:
            return decisions.RejectionReason.OUT_OF_ORDER
        self._stamp_s = message.stamp_s
        # After a pause of this process, queued messages are read late.
        late_s = self._lateness.add(stamp_s=message.stamp_s, now_s=now_s)
        self.last_message_at_s = now_s - late_s
        self._load_step = self._find_load_step(message.load)
        return None

    def _find_load_step(self, load):
        steps = self._settings.load_steps
        load_step = bisect.bisect_right(steps, load) - 1
        if load_step < self._load_step:
            # Hysteresis keeps callers from moving back and forth.
            load += self._settings.load_hysteresis
            load_step = min(
                self._load_step, bisect.bisect_right(steps, load) - 1
            )
        return max(0, load_step)

    @property
    def weight(self):
        """Return the relative share of callers that the entry should get."""
        return self._settings.load_weights[self._load_step]

    def describe(self):
        """Return the `EntryAddress` for answers to callers."""
        return decisions.EntryAddress(
            entry_id=self.entry_id,
            address=self.address,
            data_centre=self.data_centre,
        )


def _is_valid(message):
    values = (message.load, message.stamp_s)
    return all(math.isfinite(value) and value >= 0.0 for value in values)

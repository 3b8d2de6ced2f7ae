"""Hold what is known about one entry of the fleet."""

import bisect
import dataclasses
import math

from savoryyoke.directory import decisions
from savoryyoke.routing import lateness


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndedEntry:
    """Remember the last incarnation of an entry that is gone.

    An entry that was cut off for a while may come back, but one that was
    leaving never stops leaving.
    """

    incarnation: int
    leaving: bool
    until_s: float


class EntryState:
    """Track the reachability and the weight of an entry."""

    def __init__(self, *, seen, settings):
        self._settings = settings
        self.entry_id = seen.entry_id
        self.incarnation = seen.incarnation
        self.data_centre = seen.data_centre
        self.address = seen.address
        self.leaving = False
        self.heard_at_s = None
        self._stamp_s = None
        self._lateness = lateness.LatenessEstimator()
        self._step = 0

    def hear(self, heard, *, now_s):
        """Take a message of the entry; return why it is rejected."""
        if not _is_sane(heard):
            return decisions.RejectionReason.ABSURD_VALUE
        if self._stamp_s is not None and heard.stamp_s <= self._stamp_s:
            return decisions.RejectionReason.OUT_OF_ORDER
        self._stamp_s = heard.stamp_s
        # A process that wakes from a pause reads messages of long ago.
        late_s = self._lateness.add(stamp_s=heard.stamp_s, now_s=now_s)
        self.heard_at_s = now_s - late_s
        self._step = self._find_step(heard.load)
        return None

    def _find_step(self, load):
        steps = self._settings.load_steps
        step = bisect.bisect_right(steps, load) - 1
        if step < self._step:
            # Callers move back only after the load has clearly fallen.
            load += self._settings.load_hysteresis
            step = min(self._step, bisect.bisect_right(steps, load) - 1)
        return max(0, step)

    @property
    def weight(self):
        """Return the share of callers that the entry should get."""
        return self._settings.load_weights[self._step]

    def describe(self):
        """Return the entry as callers see it."""
        return decisions.EntryAddress(
            entry_id=self.entry_id,
            address=self.address,
            data_centre=self.data_centre,
        )


def _is_sane(heard):
    values = (heard.load, heard.stamp_s)
    return all(math.isfinite(value) and value >= 0.0 for value in values)

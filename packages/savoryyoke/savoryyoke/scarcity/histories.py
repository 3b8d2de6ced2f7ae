"""Record how often requests are served, and for which teams."""

import collections
import dataclasses
import math

from savoryyoke.scarcity import conf


@dataclasses.dataclass(kw_only=True)
class _Record:
    """Hold counts that decay, as of ``at_s``."""

    at_s: float
    requests: float = 0.0
    served: float = 0.0
    work: float = 0.0

    def decay(self, now_s):
        """Bring the counts up to date."""
        factor = math.exp(
            -max(now_s - self.at_s, 0.0) / conf.HISTORY_TIME_CONSTANT_S
        )
        self.requests *= factor
        self.served *= factor
        self.work *= factor
        self.at_s = now_s

    @property
    def served_share(self):
        """Return the share of the requests that were served."""
        return self.served / self.requests if self.requests else 1.0


class ServiceHistory:
    """Own the record of recent requests, by priority and by team.

    The oldest records are dropped beyond ``HISTORY_LIMIT``.
    """

    def __init__(self):
        self._total = _Record(at_s=0.0)
        self._records_by_key = collections.OrderedDict()

    def record(self, *, priority, team, work, is_served, now_s):
        """Record the decision on a request that needs ``work``."""
        for record in (
            self._total,
            self._find_or_create(('priority', priority), now_s),
            self._find_or_create(('team', team), now_s),
        ):
            record.decay(now_s)
            record.requests += 1.0
            if is_served:
                record.served += 1.0
                record.work += work

    def team_work(self, team, *, now_s):
        """Return the recent work that was done for a team."""
        record = self._records_by_key.get(('team', team))
        if record is None:
            return 0.0
        record.decay(now_s)
        return record.work

    def is_starved(self, *, priority, team, now_s):
        """Return whether a priority or a team is served much too seldom."""
        return any(
            self._is_record_starved(self._records_by_key.get(key), now_s)
            for key in (('priority', priority), ('team', team))
        )

    def _is_record_starved(self, record, now_s):
        if record is None:
            return False
        record.decay(now_s)
        if record.requests < conf.STARVED_MIN_REQUESTS:
            return False
        usual_share = self._total.served_share
        return record.served_share < conf.STARVED_RATIO * usual_share

    def _find_or_create(self, key, now_s):
        record = self._records_by_key.get(key)
        if record is None:
            record = self._records_by_key[key] = _Record(at_s=now_s)
            if len(self._records_by_key) > conf.HISTORY_LIMIT:
                self._records_by_key.popitem(last=False)
        else:
            self._records_by_key.move_to_end(key)
        return record

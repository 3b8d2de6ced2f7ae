"""Hold what one entry knows about one target."""

import dataclasses
import math

from savoryyoke.routing import checks
from savoryyoke.routing import decisions
from savoryyoke.routing import events
from savoryyoke.routing import lateness
from savoryyoke.routing import utils


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Hold:
    """Keep work up to a priority away until a time."""

    until_s: float
    priority: int

    def covers(self, priority, now_s):
        """Tell whether work of a priority is kept away now."""
        return now_s < self.until_s and priority <= self.priority


class TargetState:
    """Track the load, the trust and the health of a target incarnation."""

    def __init__(self, *, seen, distance_s, settings):
        self._settings = settings
        self.target_id = seen.target_id
        self.incarnation = seen.incarnation
        self.data_centre = seen.data_centre
        self.address = seen.address
        self.distance_s = distance_s
        self.leaving = False
        self.reachable = False
        self.report = None
        self.received_at_s = 0.0
        self.last_stamp_s = None
        self._lateness = lateness.LatenessEstimator()
        self._own_call_ids = set()
        self._models = None
        self._models_stamp_s = -math.inf
        self.sharers_count = 0
        self.position = None
        self._window = 1
        self._unreflected_by_call_id = {}
        self._unreflected_cost = 0.0
        self._holds_by_team = {}
        self._first_token = self._make_mean()
        self._call = self._make_mean()
        self._failures = self._make_mean()
        self._token = self._make_token_mean()

    def _make_mean(self):
        return utils.DecayingMean(
            weight=self._settings.latency_weight,
            half_life_s=self._settings.latency_half_life_s,
        )

    def _make_token_mean(self):
        return utils.DecayingMean(
            weight=self._settings.latency_weight,
            half_life_s=self._settings.token_half_life_s,
        )

    def accept_report(self, report, *, now_s):
        """Take a load report; return why it is rejected, or None."""
        reason = checks.check_report(
            report,
            last_stamp_s=self.last_stamp_s,
            elapsed_s=now_s - self.received_at_s,
            settings=self._settings,
        )
        if reason is not None:
            return reason
        if report.cold:
            self._window = 1
        elif self.is_cold:
            # What was measured while cold says nothing about it now.
            self._first_token = self._make_mean()
            self._token = self._make_token_mean()
        self.report = report
        self.last_stamp_s = report.stamp_s
        # A process that wakes from a pause reads reports of long ago.
        late_s = self._lateness.add(stamp_s=report.stamp_s, now_s=now_s)
        self.received_at_s = now_s - late_s
        self._settle_reflected(now_s=self.received_at_s)
        return None

    def accept_models(self, report):
        """Take the models loaded; return why it is rejected, or None."""
        if not utils.is_between(report.stamp_s, lowest=0.0, highest=1e12):
            return decisions.RejectionReason.ABSURD_STAMP
        if report.stamp_s <= self._models_stamp_s:
            return decisions.RejectionReason.OUT_OF_ORDER
        self._models_stamp_s = report.stamp_s
        self._models = report.models
        return None

    def serves(self, model):
        """Return whether the target may serve a model, as far as known."""
        return not model or self._models is None or model in self._models

    def _settle_reflected(self, *, now_s):
        margin_s = 2 * self.distance_s + self._settings.report_margin_s
        for call_id, (sent_at_s, _) in tuple(
            self._unreflected_by_call_id.items()
        ):
            if sent_at_s > now_s - margin_s:
                break
            self._settle_call(call_id)

    def _settle_call(self, call_id):
        entry = self._unreflected_by_call_id.pop(call_id, None)
        if entry is not None:
            self._unreflected_cost -= entry[1]
        if not self._unreflected_by_call_id:
            self._unreflected_cost = 0.0

    def forget_evidence(self):
        """Treat the target as unknown until its next report."""
        self.report = None
        self._window = 1

    def start_call(self, call_id, *, cost, now_s):
        """Count a call sent to the target."""
        self._own_call_ids.add(call_id)
        self._unreflected_by_call_id[call_id] = (now_s, cost)
        self._unreflected_cost += cost

    def end_call(self, call_id):
        """Stop counting a call; ignore one that was never counted."""
        self._own_call_ids.discard(call_id)
        self._settle_call(call_id)

    def record_first_token(self, latency_s, *, now_s):
        """Take a latency, less the wait that was foreseen, as a sample.

        It is evidence that the target bears one call more.
        """
        self._first_token.add(latency_s, now_s=now_s)
        if self._window is not None:
            self._window += 1
            limit = self.report.limit if self.report is not None else 0
            if limit and not self.report.cold and self._window >= limit:
                self._window = None

    def record_answer(self, latency_s, *, token_s, now_s):
        """Take the length of an answered call as a sample.

        ``token_s`` is its mean time between tokens, or None.
        """
        if token_s is not None:
            self._token.add(token_s, now_s=now_s)
        self._call.add(latency_s, now_s=now_s)
        self._failures.add(0.0, now_s=now_s)

    def record_failure(self, *, now_s):
        """Take a failed call as a sample."""
        self._failures.add(1.0, now_s=now_s)

    def record_refusal(self, refusal, *, team, priority, now_s):
        """Keep the team's work of that importance away for a while.

        A target shares its room fairly, so that the refusal of one team
        tells nothing about another.
        """
        if refusal.reason is events.RefusalReason.LEAVING:
            self.leaving = True
            return
        if refusal.reason is events.RefusalReason.COLD:
            self.forget_evidence()
        elif self._window is not None:
            self._window = max(1, self._window // 2)
        pause_s = self._settings.hold_off_limit_s
        if 0.0 <= refusal.retry_after_s < pause_s:
            pause_s = refusal.retry_after_s
        self._hold(team, until_s=now_s + pause_s, priority=priority)
        self._forget_past_holds(now_s)

    def _hold(self, team, *, until_s, priority):
        hold = self._holds_by_team.get(team)
        if hold is not None:
            until_s = max(until_s, hold.until_s)
            priority = max(priority, hold.priority)
        self._holds_by_team[team] = _Hold(until_s=until_s, priority=priority)

    def _forget_past_holds(self, now_s):
        self._holds_by_team = {
            team: hold
            for team, hold in self._holds_by_team.items()
            if now_s < hold.until_s
        }

    def is_held(self, *, team, priority, now_s):
        """Return whether a refusal still keeps such work away."""
        hold = self._holds_by_team.get(team)
        return hold is not None and hold.covers(priority, now_s)

    def is_held_for_any(self, *, priority, now_s):
        """Return whether a refusal keeps such work of some team away."""
        return any(
            hold.covers(priority, now_s)
            for hold in self._holds_by_team.values()
        )

    @property
    def own_calls(self):
        """Return how many calls this entry has at the target."""
        return len(self._own_call_ids)

    @property
    def is_cold(self):
        """Return whether the target is cold or unknown."""
        return self.report is None or self.report.cold

    @property
    def limit(self):
        """Return how many calls the target runs at once."""
        if self.report is None:
            return self._settings.unknown_limit
        return self.report.limit

    def read_first_token(self, *, now_s, default):
        """Return the usual time to the first token, in seconds."""
        return self._first_token.read(now_s=now_s, default=default)

    def read_call(self, *, now_s, default):
        """Return the usual length of a call, in seconds."""
        return self._call.read(now_s=now_s, default=default)

    @property
    def last_token_s(self):
        """Return the last mean time between tokens, or None."""
        return self._token.value

    def read_token(self, *, now_s, default):
        """Return the usual time between tokens, in seconds."""
        return self._token.read(now_s=now_s, default=default)

    def read_failures(self, *, now_s):
        """Return the share of calls that failed lately, 0 to 1."""
        return self._failures.read(now_s=now_s, default=0.0)

    def estimate_load(self, *, mean_occupancy, now_s):
        """Return the calls that the target is expected to hold now.

        An ageing report counts for less and the mean of the service for
        more.
        """
        if self.report is None:
            return float(self.own_calls)
        reported = self.report.running + self.report.queued
        if self.report.cold:
            # Its peers say nothing about it.
            return reported + self._unreflected_cost
        kept = self.weigh_report(now_s=now_s)
        usual = mean_occupancy * self.report.limit
        load = usual + (reported - usual) * kept
        return load + self._unreflected_cost

    def estimate_wait(self, load, *, call_s, now_s):
        """Return the expected wait of a further call, in seconds."""
        if self.report is None:
            return 0.0
        reported_s = self.report.estimated_wait_s * self.weigh_report(
            now_s=now_s
        )
        limit = max(1, self.report.limit)
        excess = min(load + 1.0 - limit, self._unreflected_cost + 1.0)
        return reported_s + max(0.0, excess) * call_s / limit

    def weigh_report(self, *, now_s):
        """Return how far the last report still counts, 0 to 1."""
        age_s = max(0.0, now_s - self.received_at_s)
        return math.exp(-age_s / self._settings.report_decay_s)

    def has_room(self, load, *, team, priority, now_s, unproven=False):
        """Return whether a further call of this importance may be sent.

        ``unproven`` also allows what a warm target has not yet been seen
        to bear.
        """
        if self.is_held(team=team, priority=priority, now_s=now_s):
            return False
        quota = None
        if self.is_cold or not unproven:
            quota = self.get_quota(now_s=now_s)
        if quota is not None and self.own_calls >= quota:
            return False
        limits = self._settings.occupancy_limits
        bound = limits[max(0, min(priority, len(limits) - 1))]
        if self.is_cold:
            bound = 1.0
        return load + 1.0 <= bound * self.limit

    def may_queue(self, *, team, priority, now_s):
        """Return whether a call may join the queue without room in sight."""
        is_held = self.is_held(team=team, priority=priority, now_s=now_s)
        return self.report is not None and not is_held

    def get_quota(self, *, now_s):
        """Return how many calls this entry may have there, None for any.

        The quotas of all entries for a cold target add up to its limit
        where the entries know the same peers and the same report.
        """
        if self.is_cold:
            return self._share_limit()
        if now_s - self.received_at_s > self._settings.report_stale_after_s:
            return max(1, self._share_limit())
        if self._window is not None:
            # What the target bears already is evidence too: all entries
            # together may double it.
            proven = 2 * self.report.running // max(1, self.sharers_count)
            return max(self._window, proven)
        return None

    def _share_limit(self):
        if self.position is None:
            return 0
        turn = 0
        if self.report is not None:
            turn = int(self.report.stamp_s / self._settings.cold_rotation_s)
        rank = (self.position + turn) % self.sharers_count
        share, rest = divmod(self.limit, self.sharers_count)
        return share + (1 if rank < rest else 0)

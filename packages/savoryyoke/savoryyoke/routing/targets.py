"""Track the state of one target, as seen by one entry."""

import dataclasses
import math

from savoryyoke.routing import checks
from savoryyoke.routing import decisions
from savoryyoke.routing import events
from savoryyoke.routing import lateness
from savoryyoke.routing import utils


@dataclasses.dataclass(frozen=True, kw_only=True)
class _BackOff:
    """Block calls up to a priority until a time."""

    expires_at_s: float
    priority: int

    def covers(self, priority, now_s):
        """Return whether calls of a priority are blocked now."""
        return now_s < self.expires_at_s and priority <= self.priority


class TargetState:
    """Track the load and the health of one incarnation of a target.

    Slow start: a target may get only a few calls until this entry has seen
    it answer. The limit grows with each first token; None is no limit.
    """

    def __init__(self, *, event, distance_s, settings):
        self._settings = settings
        self.target_id = event.target_id
        self.incarnation = event.incarnation
        self.data_centre = event.data_centre
        self.address = event.address
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
        self.connected_entries_count = 0
        # Position of this entry among the connected ones, None if it has
        # no connection to the target.
        self.entry_rank = None
        self._slow_start_limit = 1
        self._unreported_calls_by_id = {}  # (sent_at_s, cost)
        self._unreported_cost = 0.0
        self._back_offs_by_team = {}
        self._first_token_mean = self._make_mean()
        self._call_mean = self._make_mean()
        self._failure_mean = self._make_mean()
        self._token_mean = self._make_token_mean()

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
        """Record a load report; return the reason to reject it, or None."""
        reason = checks.check_report(
            report,
            last_stamp_s=self.last_stamp_s,
            elapsed_s=now_s - self.received_at_s,
            settings=self._settings,
        )
        if reason is not None:
            return reason
        if report.cold:
            self._slow_start_limit = 1
        elif self.is_cold:
            # Latencies of a cold target don't apply once it is warm.
            self._first_token_mean = self._make_mean()
            self._token_mean = self._make_token_mean()
        self.report = report
        self.last_stamp_s = report.stamp_s
        # After a pause of this process, queued reports are read late.
        late_s = self._lateness.add(stamp_s=report.stamp_s, now_s=now_s)
        self.received_at_s = now_s - late_s
        self._remove_reported_calls(now_s=self.received_at_s)
        return None

    def accept_models(self, report):
        """Record the loaded models; return a reason to reject, or None."""
        if not utils.is_between(report.stamp_s, lowest=0.0, highest=1e12):
            return decisions.RejectionReason.ABSURD_STAMP
        if report.stamp_s <= self._models_stamp_s:
            return decisions.RejectionReason.OUT_OF_ORDER
        self._models_stamp_s = report.stamp_s
        self._models = report.models
        return None

    def serves(self, model):
        """Return whether the target serves a model, True if unreported."""
        return not model or self._models is None or model in self._models

    def _remove_reported_calls(self, *, now_s):
        margin_s = 2 * self.distance_s + self._settings.report_margin_s
        for call_id, (sent_at_s, _) in tuple(
            self._unreported_calls_by_id.items()
        ):
            if sent_at_s > now_s - margin_s:
                break
            self._remove_unreported_call(call_id)

    def _remove_unreported_call(self, call_id):
        entry = self._unreported_calls_by_id.pop(call_id, None)
        if entry is not None:
            self._unreported_cost -= entry[1]
        if not self._unreported_calls_by_id:
            self._unreported_cost = 0.0

    def discard_report(self):
        """Discard the load report and restart slow start."""
        self.report = None
        self._slow_start_limit = 1

    def start_call(self, call_id, *, cost, now_s):
        """Count a call sent to the target.

        ``cost`` is its expected work, as a multiple of an average call.
        """
        self._own_call_ids.add(call_id)
        self._unreported_calls_by_id[call_id] = (now_s, cost)
        self._unreported_cost += cost

    def end_call(self, call_id):
        """Stop counting a call; ignore an unknown id."""
        self._own_call_ids.discard(call_id)
        self._remove_unreported_call(call_id)

    def record_first_token(self, latency_s, *, now_s):
        """Record the time to the first token, less the predicted wait.

        It also raises the limit of the slow start by one call.
        """
        self._first_token_mean.add(latency_s, now_s=now_s)
        if self._slow_start_limit is not None:
            self._slow_start_limit += 1
            limit = self.report.limit if self.report is not None else 0
            if (
                limit
                and not self.report.cold
                and self._slow_start_limit >= limit
            ):
                self._slow_start_limit = None

    def record_answer(self, latency_s, *, token_s, now_s):
        """Record the duration of an answered call, in seconds.

        ``token_s`` is its mean time between tokens in seconds, or None.
        """
        if token_s is not None:
            self._token_mean.add(token_s, now_s=now_s)
        self._call_mean.add(latency_s, now_s=now_s)
        self._failure_mean.add(0.0, now_s=now_s)

    def record_failure(self, *, now_s):
        """Record a failed call."""
        self._failure_mean.add(1.0, now_s=now_s)

    def record_refusal(self, refusal, *, team, priority, now_s):
        """Block the team's calls up to a priority for a while.

        Other teams are not blocked: a target divides its capacity fairly,
        so it may refuse one team and accept another.
        """
        if refusal.reason is events.RefusalReason.LEAVING:
            self.leaving = True
            return
        if refusal.reason is events.RefusalReason.COLD:
            self.discard_report()
        elif self._slow_start_limit is not None:
            self._slow_start_limit = max(1, self._slow_start_limit // 2)
        pause_s = self._settings.back_off_limit_s
        if 0.0 <= refusal.retry_after_s < pause_s:
            pause_s = refusal.retry_after_s
        self._extend_back_off(
            team, expires_at_s=now_s + pause_s, priority=priority
        )
        self._remove_expired_back_offs(now_s)

    def _extend_back_off(self, team, *, expires_at_s, priority):
        back_off = self._back_offs_by_team.get(team)
        if back_off is not None:
            expires_at_s = max(expires_at_s, back_off.expires_at_s)
            priority = max(priority, back_off.priority)
        self._back_offs_by_team[team] = _BackOff(
            expires_at_s=expires_at_s, priority=priority
        )

    def _remove_expired_back_offs(self, now_s):
        self._back_offs_by_team = {
            team: back_off
            for team, back_off in self._back_offs_by_team.items()
            if now_s < back_off.expires_at_s
        }

    def is_backing_off(self, *, team, priority, now_s):
        """Return whether a refusal still blocks such calls of a team."""
        back_off = self._back_offs_by_team.get(team)
        return back_off is not None and back_off.covers(priority, now_s)

    def is_backing_off_any_team(self, *, priority, now_s):
        """Return whether a refusal blocks such calls of any team."""
        return any(
            back_off.covers(priority, now_s)
            for back_off in self._back_offs_by_team.values()
        )

    @property
    def own_calls(self):
        """Return how many calls of this entry the target has."""
        return len(self._own_call_ids)

    @property
    def is_cold(self):
        """Return whether the target is cold or has no report."""
        return self.report is None or self.report.cold

    @property
    def limit(self):
        """Return how many calls the target runs at once."""
        if self.report is None:
            return self._settings.unreported_target_limit
        return self.report.limit

    def read_first_token(self, *, now_s, default):
        """Return the mean time to the first token, in seconds."""
        return self._first_token_mean.read(now_s=now_s, default=default)

    def read_call(self, *, now_s, default):
        """Return the mean duration of a call, in seconds."""
        return self._call_mean.read(now_s=now_s, default=default)

    @property
    def last_token_s(self):
        """Return the mean time between tokens as last updated, or None."""
        return self._token_mean.value

    def read_token(self, *, now_s, default):
        """Return the mean time between tokens, in seconds."""
        return self._token_mean.read(now_s=now_s, default=default)

    def read_failures(self, *, now_s):
        """Return the share of recent calls that failed, 0 to 1."""
        return self._failure_mean.read(now_s=now_s, default=0.0)

    def estimate_load(self, *, mean_occupancy, now_s):
        """Return the expected number of calls at the target.

        As a report ages, the estimate moves to the mean of the service.
        """
        if self.report is None:
            return float(self.own_calls)
        reported = self.report.running + self.report.queued
        if self.report.cold:
            # The load of warm targets is no estimate for a cold one.
            return reported + self._unreported_cost
        report_weight = self.get_report_weight(now_s=now_s)
        mean_load = mean_occupancy * self.report.limit
        load = mean_load + (reported - mean_load) * report_weight
        return load + self._unreported_cost

    def estimate_wait(self, load, *, call_s, now_s):
        """Return the expected wait of another call, in seconds.

        ``call_s`` is the mean duration of a call.
        """
        if self.report is None:
            return 0.0
        reported_s = self.report.estimated_wait_s * self.get_report_weight(
            now_s=now_s
        )
        limit = max(1, self.report.limit)
        excess = min(load + 1.0 - limit, self._unreported_cost + 1.0)
        return reported_s + max(0.0, excess) * call_s / limit

    def get_report_weight(self, *, now_s):
        """Return the weight of the last report by its age, 0 to 1."""
        age_s = max(0.0, now_s - self.received_at_s)
        return math.exp(-age_s / self._settings.report_decay_s)

    def has_capacity(
        self, load, *, team, priority, now_s, ignore_slow_start=False
    ):
        """Return whether another call of this priority may be sent.

        ``load`` is the expected number of calls at the target.
        ``ignore_slow_start`` lifts the quota of warm targets.
        """
        if self.is_backing_off(team=team, priority=priority, now_s=now_s):
            return False
        quota = None
        if self.is_cold or not ignore_slow_start:
            quota = self.get_quota(now_s=now_s)
        if quota is not None and self.own_calls >= quota:
            return False
        occupancy_limits = self._settings.occupancy_limits
        occupancy_limit = occupancy_limits[
            max(0, min(priority, len(occupancy_limits) - 1))
        ]
        if self.is_cold:
            occupancy_limit = 1.0
        return load + 1.0 <= occupancy_limit * self.limit

    def may_queue(self, *, team, priority, now_s):
        """Return whether a call may be sent to be queued at the target."""
        is_backing_off = self.is_backing_off(
            team=team, priority=priority, now_s=now_s
        )
        return self.report is not None and not is_backing_off

    def get_quota(self, *, now_s):
        """Return how many calls of this entry are allowed, None for any.

        The quotas of all entries for a cold target add up to its limit if
        the entries have the same peers and the same report.
        """
        if self.is_cold:
            return self._get_limit_share()
        if now_s - self.received_at_s > self._settings.report_stale_after_s:
            return max(1, self._get_limit_share())
        if self._slow_start_limit is not None:
            # The running calls of other entries count too: all entries
            # together may double them.
            doubled_share = (
                2 * self.report.running // max(1, self.connected_entries_count)
            )
            return max(self._slow_start_limit, doubled_share)
        return None

    def _get_limit_share(self):
        if self.entry_rank is None:
            return 0
        rotation = 0
        if self.report is not None:
            rotation = int(
                self.report.stamp_s / self._settings.cold_rotation_s
            )
        shifted_rank = (
            self.entry_rank + rotation
        ) % self.connected_entries_count
        share, remainder = divmod(self.limit, self.connected_entries_count)
        return share + (1 if shifted_rank < remainder else 0)

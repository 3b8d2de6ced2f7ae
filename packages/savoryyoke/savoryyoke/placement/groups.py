"""Track whether groups of engines are in service.

The ranks of a group run each step together, so none of them can serve once one
is lost. The group then forms again in a new epoch.
"""

import dataclasses
import math

from savoryyoke.placement import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupReports:
    """Count what the targets of a group publish about its state.

    Reports that an answer has refuted are not in ``out_of_service``.
    """

    in_service: int = 0
    out_of_service: int = 0
    refuted: int = 0

    @property
    def show_outage(self):
        """Return whether most of the reports say that there is an outage."""
        return self.out_of_service > self.in_service


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ReportKey:
    """Identify what one incarnation of a target publishes in an epoch."""

    target_id: str
    incarnation: int
    epoch: int


def _identify(target):
    return _ReportKey(
        target_id=target.target_id,
        incarnation=target.incarnation,
        epoch=target.group_epoch,
    )


class _GroupState:
    """Own what reports and answers tell of one group."""

    def __init__(self):
        self.reports = GroupReports()
        # When the next request may show whether the group serves.
        self.next_request_s = -math.inf
        # The target that the latest request to find out was sent to.
        self._asked_key = None
        self._report_keys = frozenset()
        self._refusing_keys = frozenset()
        self._refuted_keys = frozenset()
        # When this entry first read a report that is still published.
        self._outage_since_s_by_key = {}
        self._newest_epoch_in_service = -1

    @property
    def is_in_doubt(self):
        """Return whether reports or a refusal show an outage."""
        return self.reports.show_outage or bool(self._refusing_keys)

    def replace_targets(self, targets, *, now_s):
        """Set the published targets of the group."""
        self._report_keys = frozenset(map(_identify, targets))
        self._refusing_keys &= self._report_keys
        self._outage_since_s_by_key = {
            key: self._outage_since_s_by_key.get(key, now_s)
            for key in (
                _identify(target)
                for target in targets
                if not target.is_in_service
            )
        }
        self._refuted_keys &= self._outage_since_s_by_key.keys()
        self._count_reports(now_s)
        newest_epoch = max(
            (target.group_epoch for target in targets if target.is_in_service),
            default=-1,
        )
        if newest_epoch > self._newest_epoch_in_service:
            self.next_request_s = min(self.next_request_s, now_s)
        self._newest_epoch_in_service = newest_epoch

    def record_refusal(self, target, *, now_s):
        """Record that a target refused a request because of another rank."""
        key = _identify(target)
        if key in self._report_keys:
            self._refusing_keys |= {key}
            self._delay_next_request(now_s)

    def record_answer(self, *, asked_s, now_s):
        """Record that the group served a request that was sent at a time."""
        self._refusing_keys = frozenset()
        self._refuted_keys |= {
            key
            for key, since_s in self._outage_since_s_by_key.items()
            if since_s <= asked_s
        }
        self._count_reports(now_s)

    def record_sent(self, target, *, now_s):
        """Record that a request is sent to a target of the group."""
        if self.is_in_doubt:
            self._asked_key = _identify(target)
            self._delay_next_request(now_s)

    def record_unreached(self, target, *, now_s):
        """Record that a request has not reached a target of the group."""
        if self._asked_key == _identify(target):
            self._asked_key = None
            self.next_request_s = now_s

    def _delay_next_request(self, now_s):
        self.next_request_s = now_s + (
            conf.GROUP_REPORT_CHECK_INTERVAL_S
            if self.reports.show_outage
            else conf.GROUP_RETRY_INTERVAL_S
        )

    def _count_reports(self, now_s):
        had_outage = self.reports.show_outage
        outages = len(self._outage_since_s_by_key)
        refuted = len(self._refuted_keys)
        self.reports = GroupReports(
            in_service=len(self._report_keys) - outages,
            out_of_service=outages - refuted,
            refuted=refuted,
        )
        if self.reports.show_outage and not had_outage:
            self._delay_next_request(now_s)


class GroupStates:
    """Own the state of the groups that a service's targets form.

    A group is out of service if most of its targets publish so. A published
    value may be old or from another writer, so no single one decides, and a
    request is sent now and then: an answer refutes the reports that were known
    when its request was sent.

    Ranks that are cut off publish nothing, and entries that are cut off read
    nothing, so a rank's refusal because of another rank counts as well, until
    a rank answers or the one that refused is published in another epoch.
    """

    def __init__(self):
        self._states_by_group = {}

    def replace_targets(self, targets, *, now_s):
        """Set the published targets."""
        targets_by_group = {}
        for target in targets:
            if target.group:
                targets_by_group.setdefault(target.group, []).append(target)
        self._states_by_group = {
            group: self._states_by_group.get(group) or _GroupState()
            for group in targets_by_group
        }
        for group, group_targets in targets_by_group.items():
            self._states_by_group[group].replace_targets(
                group_targets, now_s=now_s
            )

    def reports_by_group(self):
        """Return the ``GroupReports`` of the groups that reports concern."""
        return {
            group: state.reports
            for group, state in self._states_by_group.items()
            if state.reports.show_outage or state.reports.refuted
        }

    def is_in_service(self, target, *, now_s):
        """Return whether a target can serve, as far as its group is known.

        While its group is in doubt, one request at a time may find out.
        """
        if not target.group:
            return target.is_in_service
        state = self._states_by_group[target.group]
        return not state.is_in_doubt or now_s >= state.next_request_s

    def record_refusal(self, target, *, now_s):
        """Record that a target refused a request because of another rank.

        A refusal may arrive after the group has formed again; ``target`` is
        as it was published when the request was sent.
        """
        state = self._states_by_group.get(target.group)
        if state is not None:
            state.record_refusal(target, now_s=now_s)

    def record_answer(self, target, *, asked_s, now_s):
        """Record that a target served a request that was sent at a time."""
        state = self._states_by_group.get(target.group)
        if state is not None:
            state.record_answer(asked_s=asked_s, now_s=now_s)

    def is_in_doubt(self, target):
        """Return whether the group of a target is shown to be in an outage."""
        state = self._states_by_group.get(target.group)
        return state is not None and state.is_in_doubt

    def record_sent(self, target, *, now_s):
        """Record that a request is sent to a target."""
        state = self._states_by_group.get(target.group)
        if state is not None:
            state.record_sent(target, now_s=now_s)

    def record_unreached(self, target, *, now_s):
        """Record that a request has not reached a target.

        If it was to find out whether the group serves, another one may.
        """
        state = self._states_by_group.get(target.group)
        if state is not None:
            state.record_unreached(target, now_s=now_s)

"""Hold the newest reports of a group's ranks."""

import dataclasses

from savoryyoke.groups.rollout import conf
from savoryyoke.groups.rollout import models


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReceivedReport:
    """Hold a report and the time at which the leader received it."""

    report: models.RankReport
    received_s: float


class RankReports:
    """Own the newest report of each rank.

    A report is fresh for ``AGENT_TIMEOUT_S``.
    """

    def __init__(self):
        self._received_by_rank = {}

    @property
    def states_by_rank(self):
        """Return the newest ``EngineState`` of each rank by rank."""
        return {
            rank: received.report.state
            for rank, received in self._received_by_rank.items()
        }

    @property
    def is_complete(self):
        """Return whether every rank of the group has reported."""
        states = self.list_states()
        return bool(states) and len(states) >= states[0].ranks

    def add(self, report, *, now_s):
        """Store a report instead of the earlier one of its rank."""
        self._received_by_rank[report.state.rank] = ReceivedReport(
            report=report, received_s=now_s
        )

    def drop_until_epoch(self, epoch):
        """Remove the reports of a formation of the group and earlier ones."""
        self._received_by_rank = {
            rank: received
            for rank, received in self._received_by_rank.items()
            if received.report.state.epoch > epoch
        }

    def find(self, rank):
        """Return the ``ReceivedReport`` of a rank that has reported."""
        return self._received_by_rank[rank]

    def find_state(self, rank):
        """Return the ``EngineState`` of a rank that has reported."""
        return self.find(rank).report.state

    def list_reports(self):
        """Return the newest report of each rank."""
        return [
            received.report for received in self._received_by_rank.values()
        ]

    def list_states(self):
        """Return the newest ``EngineState`` of each rank."""
        return [report.state for report in self.list_reports()]

    def list_silent(self, *, now_s):
        """Return the newest reports of the ranks without a fresh one."""
        return [
            received.report
            for received in self._received_by_rank.values()
            if not _is_fresh(received, now_s)
        ]

    def count_fresh(self, *, now_s):
        """Return the number of ranks with a fresh report."""
        return len(self._list_fresh_states(now_s))

    def are_all(self, predicate):
        """Return whether every rank has reported and satisfies a predicate.

        ``predicate`` gets an ``EngineState``.
        """
        states = self.list_states()
        return len(states) == states[0].ranks and all(map(predicate, states))

    def are_fresh_and_agree(self, *, now_s):
        """Return whether all ranks reported lately and agree.

        They must be open and agree on group, epoch and active map.
        """
        states = self._list_fresh_states(now_s)
        if not states or len(states) < states[0].ranks:
            return False
        first = states[0]
        return all(
            (state.group, state.epoch, state.active, state.is_open)
            == (first.group, first.epoch, first.active, True)
            for state in states
        )

    def _list_fresh_states(self, now_s):
        return [
            received.report.state
            for received in self._received_by_rank.values()
            if _is_fresh(received, now_s)
        ]


def _is_fresh(received, now_s):
    return now_s - received.received_s <= conf.AGENT_TIMEOUT_S

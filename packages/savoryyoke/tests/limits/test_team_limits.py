"""Test that team limits hold over all entries together."""

import unittest
import unittest.mock

import numpy

from savoryyoke.limits import aggregates
from savoryyoke.limits import buckets
from savoryyoke.limits import conf
from savoryyoke.limits import decisions
from savoryyoke.limits import events

_ENTRIES = tuple(f'entry-{number}' for number in range(8))
_TEAM = 'claims'
_RATE_PER_S = 40.0
_HOME_COUNT = 2
_STEP_S = 0.1


class _LendsWithoutDeducting(buckets.Bucket):
    """Mutant: keeps using the rate that it has lent."""

    def _lent_amount(self, loans, now_s):
        return 0.0


class _BorrowsFromReceipt(buckets.Bucket):
    """Mutant: starts the loan period when the grant arrives."""

    def borrow(self, *, entry_id, loan, now_s):
        loan_from_receipt = buckets.Loan(
            rate_per_s=loan.rate_per_s, until_s=now_s + conf.LOAN_DURATION_S
        )
        super().borrow(entry_id=entry_id, loan=loan_from_receipt, now_s=now_s)


class _NeverLends(buckets.Bucket):
    """Naive version: divides the limit statically."""

    def lend(self, **request):
        return 0.0


class _Fleet:
    """Simulate all entries over a network with delays and losses."""

    def __init__(self, *, seed, max_delay_s=0.05, loss_share=0.0):
        self._generator = numpy.random.default_rng(seed)
        self._max_delay_s = max_delay_s
        self._loss_share = loss_share
        self._messages = []
        self.entries_by_id = {}
        self.cut_off = frozenset()
        self.frozen = frozenset()
        self.now_s = 0.0
        self.admitted = 0
        self.largest_excess = 0.0
        self._lowest_balance = 0.0
        for entry_id in _ENTRIES:
            self.start(entry_id)

    def start(self, entry_id):
        """Start or restart an entry."""
        entry = aggregates.TeamLimits(
            entry_id=entry_id,
            incarnation=int(self._generator.integers(2**31)),
            now_s=self.now_s,
        )
        limit = conf.TeamLimit(requests_per_s=_RATE_PER_S)
        self.entries_by_id[entry_id] = entry
        self._apply(entry_id, events.EntriesListed(entry_ids=_ENTRIES))
        published = events.LimitsPublished(limits_by_team={_TEAM: limit})
        self._apply(entry_id, published)

    @property
    def homes(self):
        """Return the team's home entries."""
        return self.entries_by_id[_ENTRIES[0]].home_entry_ids(team=_TEAM)

    def run(self, *, for_s, calls_per_s_by_entry):
        """Send calls per second to entries; record the largest excess."""
        for step in range(round(for_s / _STEP_S)):
            self.now_s += _STEP_S
            self._deliver()
            for entry_id, calls_per_s in calls_per_s_by_entry.items():
                for _ in range(round(calls_per_s * _STEP_S)):
                    self._offer(entry_id)
            if step % 10 == 0:
                for entry_id in _ENTRIES:
                    if entry_id not in self.frozen:
                        self._apply(entry_id, events.HeartbeatDue())
            # The largest excess over the rate in any period so far.
            balance = self.admitted - _RATE_PER_S * self.now_s
            self._lowest_balance = min(self._lowest_balance, balance)
            self.largest_excess = max(
                self.largest_excess, balance - self._lowest_balance
            )

    def _offer(self, entry_id):
        if entry_id in self.frozen:
            return
        call = events.CallArrived(call_id='c', team=_TEAM, tokens=1.0)
        self._apply(entry_id, call)
        self._apply(entry_id, events.CallEnded(call_id='c'))

    def _apply(self, entry_id, event):
        new_decisions = self.entries_by_id[entry_id].apply(
            event, now_s=self.now_s
        )
        for decision in new_decisions:
            if isinstance(decision, decisions.Admit):
                self.admitted += 1
            elif not isinstance(decision, decisions.RefuseByLimit):
                self._send(entry_id, decision)

    def _send(self, sender, message):
        if self._generator.random() < self._loss_share:
            return
        if (sender in self.cut_off) != (message.entry_id in self.cut_off):
            return
        delay_s = self._generator.uniform(0, self._max_delay_s)
        self._messages.append((self.now_s + delay_s, sender, message))

    def _deliver(self):
        ready = [
            message for message in self._messages if message[0] <= self.now_s
        ]
        delayed = [
            message for message in ready if message[2].entry_id in self.frozen
        ]
        self._messages = [
            message for message in self._messages if message not in ready
        ] + delayed
        for _, sender, message in ready:
            if message.entry_id in self.frozen:
                continue
            event_class = events.LoanGrantReceived
            if isinstance(message, decisions.SendLoanRequest):
                event_class = events.LoanRequestReceived
            event = event_class(entry_id=sender, rows=message.rows)
            self._apply(message.entry_id, event)


# Each home entry can store BURST_S of its share and exceed it by one call.
_MAX_EXCESS = _RATE_PER_S * conf.BURST_S + _HOME_COUNT


def _simulate_faults(seed):
    """Simulate bursts, partitions and freezes; return the largest excess."""
    fleet = _Fleet(seed=seed, max_delay_s=4.0, loss_share=0.1)
    generator = numpy.random.default_rng(seed)
    first_home, second_home = fleet.homes
    fleet.run(for_s=10, calls_per_s_by_entry={})
    for _ in range(12):
        loads = generator.choice([0, 10, 30, 100], size=2)
        fleet.cut_off = frozenset(
            [first_home] if generator.random() < 0.2 else []
        )
        fleet.frozen = frozenset(
            [second_home] if generator.random() < 0.2 else []
        )
        fleet.run(
            for_s=6,
            calls_per_s_by_entry={first_home: loads[0], second_home: loads[1]},
        )
    return fleet.largest_excess


class OvershootTest(unittest.TestCase):
    """Check the documented bound on the rate over all entries."""

    _SEEDS = range(8)

    def test_delays_partitions_and_freezes_stay_within_the_bound(self):
        for seed in self._SEEDS:
            with self.subTest(seed=seed):
                self.assertLessEqual(_simulate_faults(seed), _MAX_EXCESS)

    def test_mutants_are_caught(self):
        for mutant in (_LendsWithoutDeducting, _BorrowsFromReceipt):
            with self.subTest(mutant=mutant.__name__):
                with unittest.mock.patch.object(buckets, 'Bucket', mutant):
                    excess = max(map(_simulate_faults, self._SEEDS))
                self.assertGreater(excess, _MAX_EXCESS)

    def test_each_restart_adds_at_most_one_burst_of_a_home(self):
        fleet = _Fleet(seed=1)
        first_home, second_home = fleet.homes
        fleet.run(for_s=20, calls_per_s_by_entry={first_home: 100})
        restarts = 3
        for _ in range(restarts):
            fleet.start(second_home)
            fleet.run(
                for_s=2,
                calls_per_s_by_entry={first_home: 100, second_home: 100},
            )
        restart_excess = restarts * (
            _RATE_PER_S / _HOME_COUNT * conf.BURST_S + 1
        )
        self.assertLessEqual(
            fleet.largest_excess, _MAX_EXCESS + restart_excess
        )

    def test_one_busy_home_borrows_the_shares_of_the_others(self):
        self.assertGreater(self._admitted_at_one_home(), 0.85)
        with unittest.mock.patch.object(buckets, 'Bucket', _NeverLends):
            self.assertLess(self._admitted_at_one_home(), 0.6)

    def _admitted_at_one_home(self):
        """Return the share of the limit that one home entry uses."""
        fleet = _Fleet(seed=2)
        fleet.run(for_s=10, calls_per_s_by_entry={fleet.homes[0]: 80})
        fleet.admitted = 0
        fleet.run(for_s=20, calls_per_s_by_entry={fleet.homes[0]: 80})
        return fleet.admitted / (20 * _RATE_PER_S)


class HeartbeatTest(unittest.TestCase):
    """Check the loan requests that are sent with the heartbeats."""

    def test_loan_requests_are_limited_and_rotate_over_teams(self):
        teams = [f'team-{number}' for number in range(120)]
        limit = conf.TeamLimit(requests_per_s=1.0)
        entry = aggregates.TeamLimits(entry_id='one', incarnation=1, now_s=0.0)
        listed = events.EntriesListed(entry_ids=('one', 'two'))
        published = events.LimitsPublished(
            limits_by_team=dict.fromkeys(teams, limit)
        )
        for event in (listed, published):
            entry.apply(event, now_s=0.0)
        teams_with_requests = set()
        for second in range(1, 4):
            for team in teams * 4:
                call = events.CallArrived(call_id='c', team=team, tokens=1.0)
                entry.apply(call, now_s=float(second))
            new_decisions = entry.apply(
                events.HeartbeatDue(), now_s=float(second)
            )
            rows = [row for request in new_decisions for row in request.rows]
            self.assertLessEqual(len(rows), conf.MAX_ROWS_PER_HEARTBEAT)
            teams_with_requests.update(row.team for row in rows)
        self.assertEqual(set(teams), teams_with_requests)


class HomesTest(unittest.TestCase):
    """Check which entries admit a team's calls."""

    def test_refusals_of_other_entries_list_the_homes(self):
        fleet = _Fleet(seed=3)
        non_home_id = next(
            entry_id for entry_id in _ENTRIES if entry_id not in fleet.homes
        )
        call = events.CallArrived(call_id='c', team=_TEAM, tokens=1.0)
        (refusal,) = fleet.entries_by_id[non_home_id].apply(call, now_s=1.0)
        self.assertEqual(decisions.LimitReason.OTHER_ENTRY, refusal.reason)
        self.assertEqual(fleet.homes, refusal.entry_ids)

    def test_at_most_the_old_or_the_new_home_admits(self):
        fleet = _Fleet(seed=4)
        former_home_id = fleet.homes[0]
        remaining_ids = tuple(
            entry_id for entry_id in _ENTRIES if entry_id != former_home_id
        )
        for entry_id in _ENTRIES:
            listed = events.EntriesListed(entry_ids=remaining_ids)
            fleet.entries_by_id[entry_id].apply(listed, now_s=100.0)
        call = events.CallArrived(call_id='c', team=_TEAM, tokens=1.0)
        for now_s in numpy.arange(100.0, 140.0, 1.0):
            admitting = [
                entry_id
                for entry_id, entry in fleet.entries_by_id.items()
                if isinstance(
                    entry.apply(call, now_s=now_s)[0], decisions.Admit
                )
            ]
            self.assertLessEqual(len(admitting), _HOME_COUNT, now_s)
        self.assertNotIn(former_home_id, admitting)
        self.assertEqual(_HOME_COUNT, len(admitting))

    def test_concurrency_parts_add_up(self):
        limit = conf.TeamLimit(max_concurrency=5)
        published = events.LimitsPublished(limits_by_team={_TEAM: limit})
        fleet = _Fleet(seed=5)
        admitted = 0
        for entry_id, entry in fleet.entries_by_id.items():
            entry.apply(published, now_s=1.0)
            for number in range(9):
                call = events.CallArrived(
                    call_id=f'{number}', team=_TEAM, tokens=1.0
                )
                (decision,) = entry.apply(call, now_s=1.0)
                admitted += isinstance(decision, decisions.Admit)
        self.assertEqual(5, admitted)

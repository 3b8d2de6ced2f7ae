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
_RATE = 40.0
_HOMES = 2
_STEP_S = 0.1


class _LendsWithoutDeducting(buckets.Bucket):
    """Mutant: keeps using what it has lent."""

    def _lent(self, loans, now_s):
        return 0.0


class _BorrowsFromReceipt(buckets.Bucket):
    """Mutant: counts a loan from when the grant came in."""

    def borrow(self, *, entry_id, loan, now_s):
        late = buckets.Loan(
            rate_per_s=loan.rate_per_s, until_s=now_s + conf.LOAN_S
        )
        super().borrow(entry_id=entry_id, loan=late, now_s=now_s)


class _NeverLends(buckets.Bucket):
    """Naive version: a static split."""

    def lend(self, **asked):
        return 0.0


class _Fleet:
    """Run the limits of all entries over a slow, lossy network."""

    def __init__(self, *, seed, longest_delay_s=0.05, lost_share=0.0):
        self._generator = numpy.random.default_rng(seed)
        self._longest_delay_s = longest_delay_s
        self._lost_share = lost_share
        self._messages = []
        self.entries_by_id = {}
        self.cut_off = frozenset()
        self.frozen = frozenset()
        self.now_s = 0.0
        self.admitted = 0
        self.worst_excess = 0.0
        self._least = 0.0
        for entry_id in _ENTRIES:
            self.start(entry_id)

    def start(self, entry_id):
        """Start or restart an entry."""
        entry = aggregates.TeamLimits(
            entry_id=entry_id,
            incarnation=int(self._generator.integers(2**31)),
            now_s=self.now_s,
        )
        limit = conf.TeamLimit(requests_per_s=_RATE)
        self.entries_by_id[entry_id] = entry
        self._apply(entry_id, events.EntriesListed(entry_ids=_ENTRIES))
        published = events.LimitsPublished(limits_by_team={_TEAM: limit})
        self._apply(entry_id, published)

    @property
    def homes(self):
        """Return the team's home entries."""
        return self.entries_by_id[_ENTRIES[0]].homes(team=_TEAM)

    def run(self, *, for_s, offered_by_entry):
        """Offer calls per second to entries; track the worst excess."""
        for step in range(round(for_s / _STEP_S)):
            self.now_s += _STEP_S
            self._deliver()
            for entry_id, offered in offered_by_entry.items():
                for _ in range(round(offered * _STEP_S)):
                    self._offer(entry_id)
            if step % 10 == 0:
                for entry_id in _ENTRIES:
                    if entry_id not in self.frozen:
                        self._apply(entry_id, events.HeartbeatDue())
            # The most over any window so far beyond the rate.
            balance = self.admitted - _RATE * self.now_s
            self._least = min(self._least, balance)
            self.worst_excess = max(self.worst_excess, balance - self._least)

    def _offer(self, entry_id):
        if entry_id in self.frozen:
            return
        call = events.CallArrived(call_id='c', team=_TEAM, tokens=1.0)
        self._apply(entry_id, call)
        self._apply(entry_id, events.CallEnded(call_id='c'))

    def _apply(self, entry_id, event):
        made = self.entries_by_id[entry_id].apply(event, now_s=self.now_s)
        for decision in made:
            if isinstance(decision, decisions.Admit):
                self.admitted += 1
            elif not isinstance(decision, decisions.RefuseByLimit):
                self._send(entry_id, decision)

    def _send(self, sender, message):
        if self._generator.random() < self._lost_share:
            return
        if (sender in self.cut_off) != (message.entry_id in self.cut_off):
            return
        delay_s = self._generator.uniform(0, self._longest_delay_s)
        self._messages.append((self.now_s + delay_s, sender, message))

    def _deliver(self):
        ready = [m for m in self._messages if m[0] <= self.now_s]
        late = [m for m in ready if m[2].entry_id in self.frozen]
        self._messages = [m for m in self._messages if m not in ready] + late
        for _, sender, message in ready:
            if message.entry_id in self.frozen:
                continue
            kind = events.GrantReceived
            if isinstance(message, decisions.SendAsk):
                kind = events.AskReceived
            event = kind(entry_id=sender, rows=message.rows)
            self._apply(message.entry_id, event)


# Each home may save up BURST_S of its part and overdraw by one call.
_BOUND = _RATE * conf.BURST_S + _HOMES


def _play_faults(seed):
    """Play bursts, partitions and freezes; return the worst excess."""
    fleet = _Fleet(seed=seed, longest_delay_s=4.0, lost_share=0.1)
    generator = numpy.random.default_rng(seed)
    one, other = fleet.homes
    fleet.run(for_s=10, offered_by_entry={})
    for _ in range(12):
        loads = generator.choice([0, 10, 30, 100], size=2)
        fleet.cut_off = frozenset([one] if generator.random() < 0.2 else [])
        fleet.frozen = frozenset([other] if generator.random() < 0.2 else [])
        fleet.run(for_s=6, offered_by_entry={one: loads[0], other: loads[1]})
    return fleet.worst_excess


class OvershootTest(unittest.TestCase):
    """Check the stated bound of the rate over all entries."""

    _SEEDS = range(8)

    def test_delays_partitions_and_freezes_overshoot_nothing(self):
        for seed in self._SEEDS:
            with self.subTest(seed=seed):
                self.assertLessEqual(_play_faults(seed), _BOUND)

    def test_mutants_are_caught(self):
        for mutant in (_LendsWithoutDeducting, _BorrowsFromReceipt):
            with self.subTest(mutant=mutant.__name__):
                with unittest.mock.patch.object(buckets, 'Bucket', mutant):
                    worst = max(map(_play_faults, self._SEEDS))
                self.assertGreater(worst, _BOUND)

    def test_restarts_add_one_burst_of_a_home_each(self):
        fleet = _Fleet(seed=1)
        one, other = fleet.homes
        fleet.run(for_s=20, offered_by_entry={one: 100})
        restarts = 3
        for _ in range(restarts):
            fleet.start(other)
            fleet.run(for_s=2, offered_by_entry={one: 100, other: 100})
        extra = restarts * (_RATE / _HOMES * conf.BURST_S + 1)
        self.assertLessEqual(fleet.worst_excess, _BOUND + extra)

    def test_loans_carry_demand_at_one_home(self):
        self.assertGreater(self._admitted_at_one_home(), 0.85)
        with unittest.mock.patch.object(buckets, 'Bucket', _NeverLends):
            self.assertLess(self._admitted_at_one_home(), 0.6)

    def _admitted_at_one_home(self):
        """Return the share of the limit that one home could use."""
        fleet = _Fleet(seed=2)
        fleet.run(for_s=10, offered_by_entry={fleet.homes[0]: 80})
        fleet.admitted = 0
        fleet.run(for_s=20, offered_by_entry={fleet.homes[0]: 80})
        return fleet.admitted / (20 * _RATE)


class HeartbeatTest(unittest.TestCase):
    """Check what goes with the heartbeats."""

    def test_asks_are_bounded_and_take_turns(self):
        teams = [f'team-{number}' for number in range(120)]
        limit = conf.TeamLimit(requests_per_s=1.0)
        entry = aggregates.TeamLimits(entry_id='one', incarnation=1, now_s=0.0)
        listed = events.EntriesListed(entry_ids=('one', 'two'))
        published = events.LimitsPublished(
            limits_by_team=dict.fromkeys(teams, limit)
        )
        for event in (listed, published):
            entry.apply(event, now_s=0.0)
        asked = set()
        for second in range(1, 4):
            for team in teams * 4:
                call = events.CallArrived(call_id='c', team=team, tokens=1.0)
                entry.apply(call, now_s=float(second))
            made = entry.apply(events.HeartbeatDue(), now_s=float(second))
            rows = [row for ask in made for row in ask.rows]
            self.assertLessEqual(len(rows), conf.ROWS_PER_HEARTBEAT)
            asked.update(row.team for row in rows)
        self.assertEqual(set(teams), asked)


class HomesTest(unittest.TestCase):
    """Check which entries admit a team's calls."""

    def test_other_entries_name_the_homes(self):
        fleet = _Fleet(seed=3)
        stranger = next(e for e in _ENTRIES if e not in fleet.homes)
        call = events.CallArrived(call_id='c', team=_TEAM, tokens=1.0)
        (refusal,) = fleet.entries_by_id[stranger].apply(call, now_s=1.0)
        self.assertEqual(decisions.LimitReason.OTHER_ENTRY, refusal.reason)
        self.assertEqual(fleet.homes, refusal.entry_ids)

    def test_at_most_the_old_or_the_new_home_admits(self):
        fleet = _Fleet(seed=4)
        leaving = fleet.homes[0]
        remaining = tuple(e for e in _ENTRIES if e != leaving)
        for entry_id in _ENTRIES:
            listed = events.EntriesListed(entry_ids=remaining)
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
            self.assertLessEqual(len(admitting), _HOMES, now_s)
        self.assertNotIn(leaving, admitting)
        self.assertEqual(_HOMES, len(admitting))

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
                (made,) = entry.apply(call, now_s=1.0)
                admitted += isinstance(made, decisions.Admit)
        self.assertEqual(5, admitted)

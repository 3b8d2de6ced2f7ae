"""Test that evidence merges in any order and spares healthy requests."""

import collections
import itertools
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies

from savoryyoke.quarantine import conf
from savoryyoke.quarantine import evidence

_POLICY = conf.QuarantinePolicy(crashes_to_quarantine=2)
_POISON = b'poison'
_HEALTHY = [f'healthy-{number}'.encode() for number in range(6)]
_BATCHES = strategies.sets(strategies.sampled_from(_HEALTHY))
_REPORTS = strategies.builds(
    evidence.CrashReport,
    crash_id=strategies.sampled_from(['one', 'two', 'three']),
    fingerprints=_BATCHES.map(frozenset),
    cleared=_BATCHES.map(frozenset),
    remaining_s=strategies.sampled_from([50.0, 60.0, 100.0]),
)


def _report(crash_id, *fingerprints, cleared=(), remaining_s=3600.0):
    return evidence.CrashReport(
        crash_id=crash_id,
        fingerprints=frozenset(fingerprints),
        cleared=frozenset(cleared),
        remaining_s=remaining_s,
    )


class _LastReportWins(evidence.Evidence):
    """Mutant: takes the newest set of cleared requests."""

    def merge(self, report, *, now_s):
        changed = super().merge(report, now_s=now_s)
        crash = self._crashes_by_id[report.crash_id]
        crash.cleared = report.cleared
        return changed


class _LaterExpiryWins(evidence.Evidence):
    """Mutant: prolongs evidence with each message about it."""

    def merge(self, report, *, now_s):
        changed = super().merge(report, now_s=now_s)
        crash = self._crashes_by_id[report.crash_id]
        crash.expires_s = now_s + report.remaining_s
        return changed


def _blame_all(unexplained, crashes_to_quarantine):
    """Naive version: quarantines whatever was there often enough."""
    fingerprints = [f for suspects in unexplained for f in suspects]
    return {
        fingerprint
        for fingerprint in fingerprints
        if fingerprints.count(fingerprint) >= crashes_to_quarantine
    }


def _state(evidence_class, reports):
    known = evidence_class(policy=_POLICY)
    for report in reports:
        known.merge(report, now_s=0.0)
    statuses = {name: known.status(name) for name in _HEALTHY}
    everything = known.next_reports(count=99, now_s=0.0)
    return statuses, sorted(everything, key=lambda report: report.crash_id)


def _check_order(evidence_class, reports):
    expected = _state(evidence_class, reports)
    for order in itertools.permutations(reports):
        assert _state(evidence_class, order) == expected
    assert _state(evidence_class, reports + reports[:1]) == expected


class MergeTest(unittest.TestCase):
    """Check that order and number of messages make no difference."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        reports=strategies.lists(_REPORTS, min_size=1, max_size=4)
    )
    def test_any_order_gives_the_same_state(self, reports):
        _check_order(evidence.Evidence, reports)

    def test_mutants_are_caught(self):
        reports = [
            _report('one', b'a', cleared=[b'a'], remaining_s=50.0),
            _report('one', b'a', remaining_s=60.0),
        ]
        for mutant in (_LastReportWins, _LaterExpiryWins):
            with self.assertRaises(AssertionError, msg=mutant.__name__):
                _check_order(mutant, reports)

    def test_evidence_is_bounded_and_expires_everywhere(self):
        self.assertEqual(0, self._crashes_left(silent_s=10.0))
        # Mutant: messages on their way revive what has expired.
        self.assertGreater(self._crashes_left(silent_s=0.0), 0)

    def _crashes_left(self, *, silent_s):
        """Gossip with delays of 5 s until long after the expiry."""
        policy = conf.QuarantinePolicy(crash_limit=5, silent_s=silent_s)
        one, other = (evidence.Evidence(policy=policy) for _ in range(2))
        for number in range(20):
            report = _report(f'{number}', b'a', remaining_s=100.0 + number)
            one.merge(report, now_s=0.0)
        on_their_way = collections.deque([()] * 5)
        for second in range(300):
            now_s = float(second)
            one.forget_expired(now_s=now_s)
            other.forget_expired(now_s=now_s)
            for receiver, report in on_their_way.popleft():
                receiver.merge(report, now_s=now_s)
            self.assertLessEqual(len(one._crashes_by_id), 5)
            on_their_way.append(
                [
                    (receiver, report)
                    for sender, receiver in ((one, other), (other, one))
                    for report in sender.next_reports(count=9, now_s=now_s)
                ]
            )
        self.assertEqual(
            bool(one._crashes_by_id), bool(one._crash_ids_by_fingerprint)
        )
        return len(one._crashes_by_id) + len(other._crashes_by_id)


def _check_healthy_spared(batches, cleared):
    known = evidence.Evidence(policy=_POLICY)
    for number, batch in enumerate(batches):
        known.merge(_report(f'{number}', _POISON, *batch), now_s=0.0)
        for name in _HEALTHY:
            assert known.status(name) is not evidence.Status.QUARANTINED
        for name in cleared:
            known.clear(name)
    return known


class StatusTest(unittest.TestCase):
    """Check which requests are quarantined."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        batches=strategies.lists(_BATCHES, min_size=2, max_size=6),
        cleared=_BATCHES,
    )
    def test_only_the_poison_request_is_quarantined(self, batches, cleared):
        known = _check_healthy_spared(batches, cleared)
        common = set.intersection(*batches) - cleared
        if not common:
            return
        # What was in each crash is not told apart until it succeeds.
        self.assertIs(evidence.Status.SUSPECT, known.status(_POISON))
        for name in common:
            known.clear(name)
        self.assertIs(evidence.Status.QUARANTINED, known.status(_POISON))

    def test_naive_version_is_caught(self):
        batch = set(_HEALTHY[:3])
        with unittest.mock.patch.object(evidence, '_find_poison', _blame_all):
            with self.assertRaises(AssertionError):
                _check_healthy_spared([batch, batch], set())

    def test_explained_crash_clears_its_batch(self):
        known = evidence.Evidence(policy=_POLICY)
        known.merge(_report('one', _POISON, b'a'), now_s=0.0)
        self.assertIs(evidence.Status.SUSPECT, known.status(b'a'))
        known.merge(_report('two', _POISON, b'b'), now_s=0.0)
        self.assertIs(evidence.Status.QUARANTINED, known.status(_POISON))
        for name in (b'a', b'b'):
            self.assertIs(evidence.Status.CLEAR, known.status(name))

"""Test that evidence merges in any order and clears healthy requests."""

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


def _build_report(crash_id, *fingerprints, cleared=(), remaining_s=3600.0):
    return evidence.CrashReport(
        crash_id=crash_id,
        fingerprints=frozenset(fingerprints),
        cleared=frozenset(cleared),
        remaining_s=remaining_s,
    )


class _LastReportWins(evidence.Evidence):
    """Mutant: uses the cleared requests of the last report only."""

    def merge(self, report, *, now_s):
        changed = super().merge(report, now_s=now_s)
        crash = self._crashes_by_id[report.crash_id]
        crash.cleared = report.cleared
        return changed


class _LaterExpiryWins(evidence.Evidence):
    """Mutant: extends the expiry with each message."""

    def merge(self, report, *, now_s):
        changed = super().merge(report, now_s=now_s)
        crash = self._crashes_by_id[report.crash_id]
        crash.expires_s = now_s + report.remaining_s
        return changed


def _quarantine_frequent_requests(unexplained, crashes_to_quarantine):
    """Naive version: counts each crash for all of its requests."""
    fingerprints = [
        fingerprint for suspects in unexplained for fingerprint in suspects
    ]
    return {
        fingerprint
        for fingerprint in fingerprints
        if fingerprints.count(fingerprint) >= crashes_to_quarantine
    }


def _merge_reports(evidence_class, reports):
    merged_evidence = evidence_class(policy=_POLICY)
    for report in reports:
        merged_evidence.merge(report, now_s=0.0)
    statuses = {name: merged_evidence.status(name) for name in _HEALTHY}
    merged_reports = merged_evidence.next_reports(count=99, now_s=0.0)
    return statuses, sorted(merged_reports, key=lambda report: report.crash_id)


def _check_order(evidence_class, reports):
    expected = _merge_reports(evidence_class, reports)
    for reordered in itertools.permutations(reports):
        assert _merge_reports(evidence_class, reordered) == expected
    assert _merge_reports(evidence_class, reports + reports[:1]) == expected


class MergeTest(unittest.TestCase):
    """Check that order and repetition of messages make no difference."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        reports=strategies.lists(_REPORTS, min_size=1, max_size=4)
    )
    def test_any_order_gives_the_same_state(self, reports):
        _check_order(evidence.Evidence, reports)

    def test_mutants_are_caught(self):
        reports = [
            _build_report('one', b'a', cleared=[b'a'], remaining_s=50.0),
            _build_report('one', b'a', remaining_s=60.0),
        ]
        for mutant in (_LastReportWins, _LaterExpiryWins):
            with self.assertRaises(AssertionError, msg=mutant.__name__):
                _check_order(mutant, reports)

    def test_evidence_is_limited_and_expires_in_all_processes(self):
        self.assertEqual(
            0, self._count_unexpired_crashes(stop_sharing_before_expiry_s=10.0)
        )
        # Mutant: delayed messages restore expired evidence.
        self.assertGreater(
            self._count_unexpired_crashes(stop_sharing_before_expiry_s=0.0), 0
        )

    def _count_unexpired_crashes(self, *, stop_sharing_before_expiry_s):
        """Return the number of crashes long after their expiry.

        Two processes exchange reports with a delay of 5 s.
        """
        policy = conf.QuarantinePolicy(
            crash_limit=5,
            stop_sharing_before_expiry_s=stop_sharing_before_expiry_s,
        )
        first_process, second_process = (
            evidence.Evidence(policy=policy) for _ in range(2)
        )
        for number in range(20):
            report = _build_report(
                f'{number}', b'a', remaining_s=100.0 + number
            )
            first_process.merge(report, now_s=0.0)
        messages_in_transit = collections.deque([()] * 5)
        for second in range(300):
            now_s = float(second)
            first_process.forget_expired(now_s=now_s)
            second_process.forget_expired(now_s=now_s)
            for receiver, report in messages_in_transit.popleft():
                receiver.merge(report, now_s=now_s)
            self.assertLessEqual(len(first_process._crashes_by_id), 5)
            messages_in_transit.append(
                [
                    (receiver, report)
                    for sender, receiver in (
                        (first_process, second_process),
                        (second_process, first_process),
                    )
                    for report in sender.next_reports(count=9, now_s=now_s)
                ]
            )
        self.assertEqual(
            bool(first_process._crashes_by_id),
            bool(first_process._crash_ids_by_fingerprint),
        )
        return len(first_process._crashes_by_id) + len(
            second_process._crashes_by_id
        )


def _check_healthy_spared(batches, cleared):
    merged_evidence = evidence.Evidence(policy=_POLICY)
    for number, batch in enumerate(batches):
        merged_evidence.merge(
            _build_report(f'{number}', _POISON, *batch), now_s=0.0
        )
        for name in _HEALTHY:
            assert (
                merged_evidence.status(name) is not evidence.Status.QUARANTINED
            )
        for name in cleared:
            merged_evidence.clear(name)
    return merged_evidence


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
        # Requests that were in every crash cannot be distinguished until
        # they succeed.
        self.assertIs(evidence.Status.SUSPECT, known.status(_POISON))
        for name in common:
            known.clear(name)
        self.assertIs(evidence.Status.QUARANTINED, known.status(_POISON))

    def test_naive_version_is_caught(self):
        batch = set(_HEALTHY[:3])
        with unittest.mock.patch.object(
            evidence, '_find_poison', _quarantine_frequent_requests
        ):
            with self.assertRaises(AssertionError):
                _check_healthy_spared([batch, batch], set())

    def test_explained_crash_clears_its_batch(self):
        merged_evidence = evidence.Evidence(policy=_POLICY)
        merged_evidence.merge(_build_report('one', _POISON, b'a'), now_s=0.0)
        self.assertIs(evidence.Status.SUSPECT, merged_evidence.status(b'a'))
        merged_evidence.merge(_build_report('two', _POISON, b'b'), now_s=0.0)
        self.assertIs(
            evidence.Status.QUARANTINED, merged_evidence.status(_POISON)
        )
        for name in (b'a', b'b'):
            self.assertIs(evidence.Status.CLEAR, merged_evidence.status(name))

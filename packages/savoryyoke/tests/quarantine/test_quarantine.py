"""Test how entries and targets handle suspects."""

import json
import unittest

from savoryyoke.quarantine import aggregates
from savoryyoke.quarantine import conf
from savoryyoke.quarantine import decisions
from savoryyoke.quarantine import events
from savoryyoke.quarantine import evidence
from savoryyoke.quarantine import fingerprints
from savoryyoke.quarantine import isolation

_POISON = b'poison'
_POLICY = conf.QuarantinePolicy(crashes_to_quarantine=2)


def _build_run_request(call_id, fingerprint, reports=()):
    return events.RunRequested(
        call_id=call_id, fingerprint=fingerprint, reports=reports
    )


def _crash_target(target, crash_id, requests, reports=()):
    """Start requests on a target, crash it and return its reports."""
    for fingerprint in requests:
        request = _build_run_request(
            f'{crash_id}-{fingerprint}', fingerprint, reports
        )
        (run,) = target.apply(request, now_s=0.0)
        assert isinstance(run, decisions.Run), run
    crashed = events.BackendCrashed(crash_id=crash_id)
    (share,) = target.apply(crashed, now_s=0.0)
    return share.reports


class IsolationTest(unittest.TestCase):
    """Check that a target runs one suspect at a time."""

    def setUp(self):
        """Crash one back end while it runs three requests."""
        self.entry = aggregates.Quarantine(policy=_POLICY)
        self.first_target = aggregates.Quarantine(policy=_POLICY)
        self.second_target = aggregates.Quarantine(policy=_POLICY)
        reports = _crash_target(
            self.first_target, 'crash-1', [_POISON, b'a', b'b']
        )
        received = events.ReportsReceived(reports=reports)
        self.entry.apply(received, now_s=0.0)

    def test_request_is_stopped_after_two_crashes(self):
        isolate = self._offer_call(_POISON)
        reports = _crash_target(self.second_target, 'crash-2', [b'c', _POISON])
        self.assertEqual(1, len(reports))
        # The second target now has its own crash and the entry's report.
        received = events.ReportsReceived(reports=isolate.reports)
        self.second_target.apply(received, now_s=0.0)
        (refusal,) = self.second_target.apply(
            _build_run_request('again', _POISON), now_s=0.0
        )
        self.assertIsInstance(refusal, decisions.RefusePermanently)
        self.assertEqual(2, refusal.crashes)

    def test_target_runs_one_suspect_at_a_time(self):
        for name, expected in (
            (b'a', decisions.Run),
            (b'clear', decisions.Run),
            (b'b', decisions.RefuseWhileIsolating),
        ):
            reports = ()
            if name != b'clear':
                reports = self._offer_call(name).reports
            request = _build_run_request(str(name), name, reports)
            (decision,) = self.second_target.apply(request, now_s=0.0)
            self.assertIsInstance(decision, expected, name)
        self.assertFalse(decision.same_request)

    def test_success_clears_a_request_and_frees_the_target(self):
        reports = self._offer_call(b'a').reports
        self.second_target.apply(
            _build_run_request('a', b'a', reports), now_s=0.0
        )
        ended = events.RunEnded(call_id='a', succeeded=True)
        self.second_target.apply(ended, now_s=1.0)
        (run,) = self.second_target.apply(
            _build_run_request('b', b'b', reports), now_s=1.0
        )
        self.assertIsInstance(run, decisions.Run)
        self.assertTrue(run.suspect)
        (heartbeat,) = self.second_target.apply(
            events.HeartbeatDue(report_limit=4), now_s=1.0
        )
        received = events.ReportsReceived(reports=heartbeat.reports)
        self.entry.apply(received, now_s=2.0)
        self.assertIs(evidence.Status.CLEAR, self.entry.status(b'a'))

    def test_late_report_does_not_undo_a_success(self):
        uninformed_target = aggregates.Quarantine(policy=_POLICY)
        uninformed_target.apply(
            events.CallSucceeded(fingerprint=b'a'), now_s=0.0
        )
        reports = self._offer_call(_POISON).reports
        uninformed_target.apply(
            events.ReportsReceived(reports=reports), now_s=5.0
        )
        self.assertIs(evidence.Status.CLEAR, uninformed_target.status(b'a'))
        self.assertIs(
            evidence.Status.SUSPECT, uninformed_target.status(_POISON)
        )

    def test_quarantine_stops_calls_that_are_already_running(self):
        third_target = aggregates.Quarantine(policy=_POLICY)
        third_target.apply(_build_run_request('unaware', _POISON), now_s=0.0)
        reports = _crash_target(self.second_target, 'crash-2', [_POISON])
        reports += self._offer_call(_POISON).reports
        stop_decisions = third_target.apply(
            events.ReportsReceived(reports=reports), now_s=0.0
        )
        self.assertEqual(
            (decisions.StopRun(call_id='unaware'),), stop_decisions
        )

    def _offer_call(self, fingerprint):
        offered = events.CallOffered(call_id='c', fingerprint=fingerprint)
        (isolate,) = self.entry.apply(offered, now_s=0.0)
        self.assertIsInstance(isolate, decisions.Isolate)
        return isolate


class FingerprintTest(unittest.TestCase):
    """Check which requests are treated as the same."""

    def test_request_id_and_white_space_are_ignored(self):
        content = {'model': 'm', 'prompt': 'caf\u00e9', 'request_id': '1'}
        same_content = {
            'request_id': '2',
            'prompt': 'cafe\u0301',
            'model': 'm',
        }
        other_content = {'model': 'm', 'prompt': 'tea', 'request_id': '1'}
        digests = [
            fingerprints.compute_fingerprint(service='s', body=body)
            for body in (
                json.dumps(content).encode(),
                json.dumps(same_content, indent=2).encode(),
                json.dumps(other_content).encode(),
                b'[' * 100_000,
                b'"\\ud800"',
            )
        ]
        self.assertEqual(digests[0], digests[1])
        self.assertEqual(4, len(set(digests)))

    def test_entries_agree_on_the_isolating_target(self):
        targets = [f'target-{number}' for number in range(12)]
        ranking = isolation.rank_targets(
            fingerprint=_POISON, target_ids=targets
        )
        reverse_ranking = isolation.rank_targets(
            fingerprint=_POISON, target_ids=targets[::-1]
        )
        self.assertEqual(ranking, reverse_ranking)

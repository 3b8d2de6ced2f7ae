"""Test what entries and targets do with suspects."""

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


def _request(call_id, fingerprint, reports=()):
    return events.RunRequested(
        call_id=call_id, fingerprint=fingerprint, reports=reports
    )


def _crash(target, crash_id, requests, reports=()):
    """Run requests on a target until it crashes; return its reports."""
    for fingerprint in requests:
        request = _request(f'{crash_id}-{fingerprint}', fingerprint, reports)
        (run,) = target.apply(request, now_s=0.0)
        assert isinstance(run, decisions.Run), run
    crashed = events.BackendCrashed(crash_id=crash_id)
    (share,) = target.apply(crashed, now_s=0.0)
    return share.reports


class IsolationTest(unittest.TestCase):
    """Check that suspects run one at a time and apart."""

    def setUp(self):
        """Let one back end crash under three requests."""
        self.entry = aggregates.Quarantine(policy=_POLICY)
        self.first = aggregates.Quarantine(policy=_POLICY)
        self.second = aggregates.Quarantine(policy=_POLICY)
        reports = _crash(self.first, 'crash-1', [_POISON, b'a', b'b'])
        received = events.ReportsReceived(reports=reports)
        self.entry.apply(received, now_s=0.0)

    def test_request_is_stopped_after_two_crashes(self):
        isolate = self._offer(_POISON)
        reports = _crash(self.second, 'crash-2', [b'c', _POISON])
        self.assertEqual(1, len(reports))
        # The entry's report and the crash meet on the second target.
        told = events.ReportsReceived(reports=isolate.reports)
        self.second.apply(told, now_s=0.0)
        (refusal,) = self.second.apply(_request('again', _POISON), now_s=0.0)
        self.assertIsInstance(refusal, decisions.RefuseForGood)
        self.assertEqual(2, refusal.crashes)

    def test_target_runs_one_suspect_at_a_time(self):
        for name, expected in (
            (b'a', decisions.Run),
            (b'clear', decisions.Run),
            (b'b', decisions.RefuseWhileIsolating),
        ):
            reports = ()
            if name != b'clear':
                reports = self._offer(name).reports
            request = _request(str(name), name, reports)
            (made,) = self.second.apply(request, now_s=0.0)
            self.assertIsInstance(made, expected, name)
        self.assertFalse(made.same_request)

    def test_success_clears_and_frees_the_target(self):
        reports = self._offer(b'a').reports
        self.second.apply(_request('a', b'a', reports), now_s=0.0)
        ended = events.RunEnded(call_id='a', succeeded=True)
        self.second.apply(ended, now_s=1.0)
        (run,) = self.second.apply(_request('b', b'b', reports), now_s=1.0)
        self.assertIsInstance(run, decisions.Run)
        self.assertTrue(run.suspect)
        (heartbeat,) = self.second.apply(
            events.HeartbeatDue(report_limit=4), now_s=1.0
        )
        told = events.ReportsReceived(reports=heartbeat.reports)
        self.entry.apply(told, now_s=2.0)
        self.assertIs(evidence.Status.CLEAR, self.entry.status(b'a'))

    def test_late_news_does_not_undo_a_success(self):
        unaware = aggregates.Quarantine(policy=_POLICY)
        unaware.apply(events.CallSucceeded(fingerprint=b'a'), now_s=0.0)
        news = self._offer(_POISON).reports
        unaware.apply(events.ReportsReceived(reports=news), now_s=5.0)
        self.assertIs(evidence.Status.CLEAR, unaware.status(b'a'))
        self.assertIs(evidence.Status.SUSPECT, unaware.status(_POISON))

    def test_quarantine_stops_runs_that_began_before(self):
        third = aggregates.Quarantine(policy=_POLICY)
        third.apply(_request('unaware', _POISON), now_s=0.0)
        news = _crash(self.second, 'crash-2', [_POISON])
        news += self._offer(_POISON).reports
        made = third.apply(events.ReportsReceived(reports=news), now_s=0.0)
        self.assertEqual((decisions.StopRun(call_id='unaware'),), made)

    def _offer(self, fingerprint):
        offered = events.CallOffered(call_id='c', fingerprint=fingerprint)
        (isolate,) = self.entry.apply(offered, now_s=0.0)
        self.assertIsInstance(isolate, decisions.Isolate)
        return isolate


class FingerprintTest(unittest.TestCase):
    """Check which requests count as the same."""

    def test_key_and_spacing_do_not_matter(self):
        content = {'model': 'm', 'prompt': 'caf\u00e9', 'request_id': '1'}
        again = {'request_id': '2', 'prompt': 'cafe\u0301', 'model': 'm'}
        other = {'model': 'm', 'prompt': 'tea', 'request_id': '1'}
        digests = [
            fingerprints.compute_fingerprint(service='s', body=body)
            for body in (
                json.dumps(content).encode(),
                json.dumps(again, indent=2).encode(),
                json.dumps(other).encode(),
                b'[' * 100_000,
                b'"\\ud800"',
            )
        ]
        self.assertEqual(digests[0], digests[1])
        self.assertEqual(4, len(set(digests)))

    def test_entries_agree_on_the_isolating_target(self):
        targets = [f'target-{number}' for number in range(12)]
        ranked = isolation.rank_targets(
            fingerprint=_POISON, target_ids=targets
        )
        again = isolation.rank_targets(
            fingerprint=_POISON, target_ids=targets[::-1]
        )
        self.assertEqual(ranked, again)

"""Test what entries tell each other of requests that crash targets."""

import types
import unittest

import prometheus_client

from savoryyoke.quarantine import conf as quarantine_conf
from savoryyoke.quarantine import evidence

from savoryyoke_gateway import conf
from savoryyoke_gateway import metrics
from savoryyoke_gateway import suspects

FATAL = b'fatal-id'
TARGET = types.SimpleNamespace(release='v1')


def build_call(content=FATAL):
    """Return the part of a call that counts here."""
    return types.SimpleNamespace(content=content, placement_id='1')


def build_reports(crashes, *, contents=(FATAL,)):
    """Return reports of crashes that have just happened."""
    return tuple(
        evidence.CrashReport(
            crash_id=f't{number}/1',
            fingerprints=frozenset(contents),
            remaining_s=quarantine_conf.ENTRY_POLICY.evidence_lifetime_s,
            release='v1',
        )
        for number in range(crashes)
    )


class Entry:
    """Hold one entry's knowledge and the heartbeat that shows it."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.suspects = suspects.Suspects(
            metrics=metrics.GatewayMetrics(registry=self.registry),
            clock=lambda: 0.0,
        )

    def heartbeat(self):
        """Return what others hear of this entry."""
        return types.SimpleNamespace(evidence_digest=self.suspects.digest())


class SharingTests(unittest.TestCase):
    def setUp(self):
        self.one, self.other = Entry(), Entry()
        for entry in (self.one, self.other):
            entry.suspects.note_peers([self.one.heartbeat()])

    def tell(self, *, rounds=1):
        """Let one entry send heartbeats to the other; return the reports."""
        told = []
        for _ in range(rounds):
            due = self.one.suspects.reports_due([self.other.heartbeat()])
            self.other.suspects.take_in(due, source='one')
            told.extend(due)
        return told

    def test_entries_that_agree_send_nothing(self):
        self.assertEqual([], self.tell())
        self.one.suspects.take_in(build_reports(3), source='own')
        self.assertEqual(3, len(self.tell()))
        self.assertEqual([], self.tell())

    def test_what_was_told_is_withheld(self):
        self.one.suspects.take_in(build_reports(3), source='own')
        self.assertIsNone(self.other.suspects.find_withheld(build_call()))
        self.tell()
        withheld = self.other.suspects.find_withheld(build_call())
        self.assertEqual(frozenset({'v1'}), withheld.releases)
        self.assertEqual(1, self.other.suspects.quarantined_count())
        counted = self.other.registry.get_sample_value(
            'savoryyoke_gateway_quarantined_requests_total'
        )
        self.assertEqual(1.0, counted)

    def test_lost_heartbeats_are_made_up_for(self):
        self.one.suspects.take_in(build_reports(3), source='own')
        self.one.suspects.reports_due([self.other.heartbeat()])
        self.assertEqual(3, len(self.tell()))

    def test_many_crashes_take_several_heartbeats(self):
        crashes = 3 * conf.CRASH_REPORTS_PER_HEARTBEAT
        self.one.suspects.take_in(build_reports(crashes), source='own')
        self.assertEqual(crashes, len(self.tell(rounds=5)))
        self.assertEqual(
            self.one.suspects.digest(), self.other.suspects.digest()
        )

    def test_answer_clears_a_request_at_all_entries(self):
        self.one.suspects.take_in(build_reports(3), source='own')
        self.tell()
        self.one.suspects.note_answered(build_call(), TARGET)
        self.tell()
        self.assertIsNone(self.other.suspects.find_withheld(build_call()))
        self.assertEqual(0, self.other.suspects.quarantined_count())

    def test_crash_with_more_requests_than_a_report_holds(self):
        contents = [b'%08d' % x for x in range(100)]
        reports = build_reports(1, contents=contents)
        self.one.suspects.take_in(reports, source='own')
        told = self.tell()
        longest = max(len(x.fingerprints) for x in told)
        self.assertEqual(conf.CRASH_DIGESTS_PER_REPORT, longest)
        self.assertEqual([], self.tell())

    def test_crash_with_more_requests_than_a_heartbeat_holds(self):
        contents = [b'%08d' % x for x in range(200)]
        reports = build_reports(1, contents=contents)
        self.one.suspects.take_in(reports, source='own')
        self.tell(rounds=4)
        self.assertEqual([], self.tell())

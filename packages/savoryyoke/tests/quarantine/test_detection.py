"""Test which unanswered tries count as part of a crash."""

import dataclasses
import unittest

from savoryyoke.placement import models
from savoryyoke.quarantine import conf
from savoryyoke.quarantine import detection
from savoryyoke.quarantine import events

TARGET = models.Target(
    target_id='t',
    incarnation=1,
    service_name='s',
    host='10.0.0.1',
    port=80,
    data_centre='dc-a',
    region='r',
    slots=4,
    is_draining=False,
    is_in_service=True,
)
REFUSED = events.ConnectionRefused(target=TARGET)


class CrashDetectorTests(unittest.TestCase):
    def setUp(self):
        self.detector = detection.CrashDetector(evidence_s=3600.0)
        self.list(TARGET)

    def apply(self, event, *, now_s=0.0):
        """Return the contents that each found crash names."""
        return [
            sorted(report.fingerprints)
            for report in self.detector.apply(event, now_s=now_s)
        ]

    def lose(self, fingerprint, *, is_broken=True, now_s=0.0):
        """Report a try without an answer."""
        event = events.TryLost(
            target=TARGET, fingerprint=fingerprint, is_broken=is_broken
        )
        self.assertEqual([], self.apply(event, now_s=now_s))

    def list(self, *targets, now_s=0.0):
        """Publish the targets; return the contents of found crashes."""
        return self.apply(events.TargetsListed(targets=targets), now_s=now_s)

    def test_refused_connection_after_broken_tries_is_a_crash(self):
        self.lose(b'a')
        self.lose(b'b')
        self.assertEqual([[b'a', b'b']], self.apply(REFUSED))
        self.assertEqual([], self.apply(REFUSED))

    def test_all_entries_name_a_crash_alike(self):
        self.lose(b'a')
        (report,) = self.detector.apply(REFUSED, now_s=0.0)
        self.assertEqual('t/1', report.crash_id)

    def test_broken_tries_alone_prove_no_crash(self):
        self.lose(b'a')
        self.assertEqual([], self.list(TARGET))

    def test_refused_connection_without_tries_names_nothing(self):
        self.assertEqual([], self.apply(REFUSED))

    def test_try_that_was_given_up_before_the_crash_counts(self):
        self.lose(b'a', is_broken=False)
        self.assertEqual([[b'a']], self.apply(REFUSED, now_s=0.2))

    def test_old_tries_do_not_count(self):
        self.lose(b'a')
        self.lose(b'b', now_s=2.0)
        now_s = 1.0 + conf.LOST_TRY_MEMORY_S
        self.assertEqual([[b'b']], self.apply(REFUSED, now_s=now_s))

    def test_target_that_announced_its_stop_does_not_crash(self):
        self.list(dataclasses.replace(TARGET, is_draining=True))
        self.lose(b'a')
        self.assertEqual([], self.apply(REFUSED))
        self.assertEqual([], self.list())

    def test_target_that_has_left_the_list_does_not_crash(self):
        self.list()
        self.lose(b'a')
        self.assertEqual([], self.apply(REFUSED))

    def test_lapsed_target_that_broke_tries_has_crashed(self):
        self.lose(b'a')
        self.lose(b'b', is_broken=False)
        self.assertEqual([[b'a']], self.list(now_s=2.6))

    def test_restart_under_the_same_id_is_a_crash(self):
        self.lose(b'a')
        restarted = dataclasses.replace(TARGET, incarnation=2)
        self.assertEqual([[b'a']], self.list(restarted))
        self.assertEqual([], self.apply(REFUSED))

    def test_lost_tries_are_bounded(self):
        for number in range(2 * conf.LOST_TRIES_LIMIT):
            self.lose(b'%d' % number)
        (contents,) = self.apply(REFUSED)
        self.assertEqual(conf.LOST_TRIES_LIMIT, len(contents))

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
CONNECTION_REFUSED = events.ConnectionRefused(target=TARGET)


class CrashDetectorTests(unittest.TestCase):
    def setUp(self):
        self.detector = detection.CrashDetector(report_lifetime_s=3600.0)
        self.publish_targets(TARGET)

    def apply(self, event, *, now_s=0.0):
        """Return the sorted fingerprints of each detected crash."""
        return [
            sorted(report.fingerprints)
            for report in self.detector.apply(event, now_s=now_s)
        ]

    def report_lost_try(self, fingerprint, *, is_broken=True, now_s=0.0):
        """Report a try without an answer."""
        event = events.TryLost(
            target=TARGET, fingerprint=fingerprint, is_broken=is_broken
        )
        self.assertEqual([], self.apply(event, now_s=now_s))

    def publish_targets(self, *targets, now_s=0.0):
        """Publish targets; return the fingerprints of detected crashes."""
        return self.apply(events.TargetsListed(targets=targets), now_s=now_s)

    def test_refused_connection_after_broken_tries_is_a_crash(self):
        self.report_lost_try(b'a')
        self.report_lost_try(b'b')
        self.assertEqual([[b'a', b'b']], self.apply(CONNECTION_REFUSED))
        self.assertEqual([], self.apply(CONNECTION_REFUSED))

    def test_crash_id_is_derived_from_the_target(self):
        self.report_lost_try(b'a')
        (report,) = self.detector.apply(CONNECTION_REFUSED, now_s=0.0)
        self.assertEqual('t/1', report.crash_id)

    def test_broken_tries_alone_are_no_crash(self):
        self.report_lost_try(b'a')
        self.assertEqual([], self.publish_targets(TARGET))

    def test_refused_connection_without_tries_is_not_reported(self):
        self.assertEqual([], self.apply(CONNECTION_REFUSED))

    def test_try_that_was_given_up_before_the_crash_counts(self):
        self.report_lost_try(b'a', is_broken=False)
        self.assertEqual([[b'a']], self.apply(CONNECTION_REFUSED, now_s=0.2))

    def test_old_tries_do_not_count(self):
        self.report_lost_try(b'a')
        self.report_lost_try(b'b', now_s=2.0)
        now_s = 1.0 + conf.LOST_TRY_RETENTION_S
        self.assertEqual([[b'b']], self.apply(CONNECTION_REFUSED, now_s=now_s))

    def test_draining_target_does_not_crash(self):
        self.publish_targets(dataclasses.replace(TARGET, is_draining=True))
        self.report_lost_try(b'a')
        self.assertEqual([], self.apply(CONNECTION_REFUSED))
        self.assertEqual([], self.publish_targets())

    def test_target_removed_from_the_list_does_not_crash(self):
        self.publish_targets()
        self.report_lost_try(b'a')
        self.assertEqual([], self.apply(CONNECTION_REFUSED))

    def test_target_that_disappears_after_broken_tries_has_crashed(self):
        self.report_lost_try(b'a')
        self.report_lost_try(b'b', is_broken=False)
        self.assertEqual([[b'a']], self.publish_targets(now_s=2.6))

    def test_restart_under_the_same_id_is_a_crash(self):
        self.report_lost_try(b'a')
        restarted = dataclasses.replace(TARGET, incarnation=2)
        self.assertEqual([[b'a']], self.publish_targets(restarted))
        self.assertEqual([], self.apply(CONNECTION_REFUSED))

    def test_number_of_lost_tries_is_limited(self):
        for number in range(2 * conf.MAX_LOST_TRIES_PER_TARGET):
            self.report_lost_try(b'%d' % number)
        (crash_fingerprints,) = self.apply(CONNECTION_REFUSED)
        self.assertEqual(
            conf.MAX_LOST_TRIES_PER_TARGET, len(crash_fingerprints)
        )

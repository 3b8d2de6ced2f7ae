"""Test that invalid load reports change nothing."""

import math
import unittest

from savoryyoke.routing import decisions
from tests.routing import support


class ReportTest(unittest.TestCase):
    """Check that invalid load reports change nothing."""

    def test_bad_reports_are_rejected_whole(self):
        """Return the reason and keep using the last valid report."""
        reasons = decisions.RejectionReason
        cases = [
            ({'stamp_s': 100.0}, reasons.OUT_OF_ORDER),
            ({'stamp_s': 99.0}, reasons.OUT_OF_ORDER),
            ({'stamp_s': 1e9}, reasons.ABSURD_STAMP),
            ({'stamp_s': math.nan}, reasons.ABSURD_STAMP),
            ({'running': -1}, reasons.ABSURD_VALUE),
            ({'running': 1.5}, reasons.ABSURD_VALUE),
            ({'queued': 10**9}, reasons.ABSURD_VALUE),
            ({'limit': -4}, reasons.ABSURD_VALUE),
            ({'estimated_wait_s': math.inf}, reasons.ABSURD_VALUE),
            ({'kv_free_ratio': 1.5}, reasons.ABSURD_VALUE),
            ({'incarnation': 0}, reasons.OLD_INCARNATION),
            ({'incarnation': 2}, reasons.UNKNOWN_INCARNATION),
            ({'target_id': 'target-77'}, reasons.UNKNOWN_TARGET),
        ]
        for changes, reason in cases:
            with self.subTest(changes=changes):
                request_router = support.make_router(targets=2, entries=1)
                support.warm(request_router, targets=2)
                full = {'stamp_s': 101.0, 'limit': 0}
                bad = support.make_report(0, **(full | changes))
                (rejected,) = request_router.apply(bad, now_s=0.0)
                self.assertEqual(reason, rejected.reason)
                chosen = support.choose_many(request_router, count=200)
                self.assertGreater(chosen['target-0'], 50)

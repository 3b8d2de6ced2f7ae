"""Show that each judgement of records turns red."""

import types
import unittest

from savoryyoke_fakes.scenarios import configurations
from savoryyoke_fakes.scenarios import judging
from savoryyoke_fakes.scenarios import records

SERVED = records.Answer(verdict=records.Verdict.SERVED)
NOT_RUN = records.Answer(verdict=records.Verdict.REFUSED, outcome='not-run')
CUT = records.Answer(verdict=records.Verdict.BROKEN_OFF)


def make_call(*answers):
    """Return a payment with these answers."""
    return records.Call(
        number=1, kind='payments', reference='p', answers=list(answers)
    )


class JudgementTest(unittest.TestCase):
    """Check records that break a promise beside records that keep it."""

    def test_refusal_of_a_payment_that_ran(self):
        refused = [make_call(NOT_RUN)]
        self.assertEqual([], judging.find_false_refusals(refused, {}))
        self.assertTrue(judging.find_false_refusals(refused, {'p': 1}))

    def test_answer_for_a_payment_that_did_not_run(self):
        served = [make_call(SERVED)]
        self.assertEqual([], judging.find_false_refusals(served, {'p': 1}))
        self.assertTrue(judging.find_false_refusals(served, {}))

    def test_answers_that_broke_off_or_never_came(self):
        kept = [make_call(CUT, SERVED), make_call(NOT_RUN)]
        self.assertEqual([], judging.find_unanswered(kept))
        for call in (make_call(CUT), make_call()):
            self.assertTrue(judging.find_unanswered([call]))

    def test_call_that_was_served_at_its_second_try_only(self):
        self.assertEqual([], judging.find_unserved([make_call(SERVED)]))
        self.assertTrue(judging.find_unserved([make_call(CUT, SERVED)]))

    def test_revision_that_reverts(self):
        watch = configurations.Watch(fleet=types.SimpleNamespace(), vm_ids=())
        for revision in ('3.2', '', '4.2'):
            watch.note('entry-a', revision)
        self.assertEqual([], watch.reversions)
        watch.note('entry-a', '3.2')
        self.assertEqual(1, len(watch.reversions))

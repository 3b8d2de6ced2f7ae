"""Play short runs of the soak, and mutants that it must catch."""

import unittest

from savoryyoke_soak import faults
from savoryyoke_soak import mutants
from savoryyoke_soak import runner

SECONDS = 6.0
SEEDS = (1, 3)
# A version that is written after 1.5 s is due after 6.5 s.
MUTANT_SECONDS = 7.0


def build_fault(kind, *, place=0, at_s=0.5, for_s=2.0):
    """Return a fault of a mutant's run."""
    return faults.Fault(kind=kind, place=place, at_s=at_s, for_s=for_s)


RESETS = tuple(
    build_fault('reset', place=number % 4, at_s=0.5 + 0.1 * number, for_s=0.1)
    for number in range(40)
)
# What a mutant needs to show itself.
FAULTS_BY_PROMISE = {
    'once': RESETS,
    'not-run': RESETS,
    'leaving': (build_fault('drain-target'),),
    'announced': (build_fault('leaving-target', at_s=0.2),),
    'paused': tuple(
        build_fault('busy-target', place=number % 4, at_s=0.5 + number)
        for number in range(5)
    ),
    # Targets of a busy machine take a second or two to return.
    'crashing': (build_fault('fatal-request', for_s=12.0),),
    'stop': (build_fault('stop'),),
}
# Two callers whose request crashes targets, while entries come and go.
CRASHES_AND_RESTARTS = (
    build_fault('fatal-request', at_s=0.5, for_s=4.0),
    build_fault('fatal-request', at_s=0.6, for_s=4.0, place=1),
    build_fault('freeze', place=2, at_s=2.0),
    build_fault('kill', place=0, at_s=4.0, for_s=0.3),
    build_fault('kill', place=1, at_s=4.0, for_s=0.3),
    build_fault('stop', place=3, at_s=5.0, for_s=0.3),
)
# Seeds that have found a fault, with its cause.
REGRESSIONS_BY_SEED = {
    1796387572: 'a signed answer that names no request passed for whole',
    1796387579: 'the same, for a payment',
}


class FaultTests(unittest.TestCase):
    def draw(self, seed):
        """Return the faults of a long run."""
        return faults.draw_faults(
            seed=seed, seconds=60.0, entries=4, targets=4
        )

    def test_faults_follow_from_the_seed(self):
        self.assertEqual(self.draw(7), self.draw(7))
        self.assertNotEqual(self.draw(7), self.draw(8))

    def test_all_kinds_come_up_and_overlap(self):
        drawn = [fault for seed in range(10) for fault in self.draw(seed)]
        self.assertEqual(
            {
                *faults.ENTRY_FAULTS,
                *faults.STORE_FAULTS,
                *faults.TARGET_FAULTS,
                *faults.REQUEST_FAULTS,
                *faults.LINK_FAULTS,
            },
            {fault.kind for fault in drawn},
        )
        one = self.draw(1)
        self.assertTrue(
            any(
                first.at_s + first.for_s > second.at_s
                for first, second in zip(one, one[1:])
            )
        )


class SoakTests(unittest.TestCase):
    def test_promises_hold(self):
        for seed in (*SEEDS, *REGRESSIONS_BY_SEED):
            with self.subTest(seed=seed):
                outcome = runner.play(seed=seed, seconds=SECONDS)
                self.assertEqual([], outcome.breaches)
                answered = sum(
                    call.status == 200 for call in outcome.history.calls
                )
                self.assertGreater(answered, len(outcome.history.calls) / 2)
                self.assertTrue(outcome.history.probes)

    def test_request_that_crashes_targets_while_entries_are_replaced(self):
        outcome = runner.play(
            seed=1, seconds=8.0, planned=CRASHES_AND_RESTARTS
        )
        self.assertEqual([], outcome.breaches)
        sent = {call.sent_body for call in outcome.history.calls}
        self.assertEqual(3, len(sent))

    def test_each_broken_promise_is_caught(self):
        for promise in mutants.MUTATIONS_BY_PROMISE:
            with self.subTest(promise=promise):
                outcome = runner.play(
                    seed=1,
                    seconds=MUTANT_SECONDS,
                    mutant=promise,
                    planned=FAULTS_BY_PROMISE.get(promise, ()),
                )
                broken = {breach.promise for breach in outcome.breaches}
                self.assertIn(promise, broken)

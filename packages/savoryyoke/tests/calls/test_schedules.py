"""Test ledgers and attempts under random schedules of failures."""

import contextlib
import dataclasses
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
from savoryyoke.calls.ledger import handover
from savoryyoke.calls.ledger import records
from savoryyoke.calls.ledger import rules
from savoryyoke.calls.ledger import snapshots
from savoryyoke.calls.testing import oracle as oracles
from savoryyoke.calls.testing import schedules
from savoryyoke.calls.testing import world as worlds


EXAMPLES = 400
MUTATION_EXAMPLES = 3_000
STEP_BYTES = 3
STEPS_MINIMUM = 100
STEPS_MAXIMUM = 150

_OPERATIONS = schedules.OPERATIONS
_PHASES = (hypothesis.Phase.generate, hypothesis.Phase.shrink)


def _decode(data):
    for i in range(0, len(data) - STEP_BYTES + 1, STEP_BYTES):
        name = _OPERATIONS[data[i] % len(_OPERATIONS)]
        yield name, data[i + 1] % 16, data[i + 2] % 16


def _check_schedules(*, examples=EXAMPLES, seen=None, phases=_PHASES):
    """Run ``examples`` schedules; raise ``FalseAnswer`` on a fault.

    The kinds of outcomes that occurred are added to ``seen``.
    """

    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=examples,
        database=None,
        phases=phases,
        suppress_health_check=tuple(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        strategies.binary(
            min_size=STEPS_MINIMUM * STEP_BYTES,
            max_size=STEPS_MAXIMUM * STEP_BYTES,
        )
    )
    def check(data):
        oracle = oracles.Oracle()
        schedule = schedules.Schedule(oracle=oracle)
        unanswered = schedule.run(_decode(data))
        if unanswered:
            raise AssertionError(f'{unanswered} attempts have no answer')
        if seen is not None:
            seen.update(oracle.counts)

    check()


class ScheduleTest(unittest.TestCase):
    """Check runs and answers under failures in any order."""

    def test_answers_are_true_under_random_failures(self):
        seen = set()
        _check_schedules(seen=seen)
        expected = {'Ran', 'NotRun', 'MayHaveRun', 'Rejected'}
        self.assertLessEqual(expected, seen)


def _copy_as_sealed(record, *, answer):
    copy = snapshots.RecordCopy(
        key=record.table.make_key(record),
        fingerprint=record.fingerprint,
        phase=record.phase,
        seal_ms=record.seal_ms,
        status=record.status,
        answer=answer,
    )
    if record.phase not in records.IN_PROGRESS:
        return copy
    return dataclasses.replace(copy, phase=records.Phase.SEALED)


def _awaits_acknowledgement_forever(self, *, export_number):
    return self.heir is not None and self._export_number == export_number


class _TargetWithReusedIncarnation(worlds.Target):
    def __init__(self, *, target_id, incarnation, now_s, limits):
        incarnation = 1_000 + int(target_id[1:])
        super().__init__(
            target_id=target_id,
            incarnation=incarnation,
            now_s=now_s,
            limits=limits,
        )


MUTATIONS = {
    'without the stamp check': (
        (rules.Rules, '_find_refusal_reason', lambda *args: None),
    ),
    'without the window floors': (
        (rules.Rules, '_respond_by_window', lambda *args: ()),
    ),
    'without new incarnations': (
        (worlds, 'Target', _TargetWithReusedIncarnation),
    ),
    'reopening after the hand-over': (
        (
            handover.Handover,
            'awaits_acknowledgement',
            _awaits_acknowledgement_forever,
        ),
    ),
    'forgetting calls in progress at a hand-over': (
        (snapshots, 'copy_record', _copy_as_sealed),
    ),
}


class MutationTest(unittest.TestCase):
    """Check that the schedules detect the loss of each rule."""

    def test_each_mutation_is_found(self):
        for name, patches in MUTATIONS.items():
            with self.subTest(name), contextlib.ExitStack() as stack:
                for patch in patches:
                    stack.enter_context(mock.patch.object(*patch))
                with self.assertRaises(oracles.FalseAnswer):
                    _check_schedules(
                        examples=MUTATION_EXAMPLES, phases=_PHASES[:1]
                    )

"""Test the reassembly of answers."""

import unittest

import hypothesis
from hypothesis import strategies

from savoryyoke.streams import assembly
from savoryyoke.streams import decisions
from savoryyoke.streams import events

EXAMPLES = 400
FIXED = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=EXAMPLES
)


def make_chunk(attempt, index, count):
    data = b''.join(b'token %d\n\n' % (index + i) for i in range(count))
    return events.ChunkReceived(
        attempt=attempt, index=index, count=count, data=data
    )


class ForgetfulAssembly(assembly.Assembly):
    """Deliver what was delivered before: a mutation for the tests."""

    def _skip_delivered(self, event):
        return event.data


class TrustingAssembly(assembly.Assembly):
    """Take pieces of any attempt: a mutation for the tests."""

    def _is_late(self, event):
        return self._closed


class CarelessAssembly(assembly.Assembly):
    """Finish without comparing the total: a mutation for the tests."""

    def apply(self, event):
        if isinstance(event, events.EndReceived) and not self._closed:
            self._closed = True
            return (decisions.Finish(),)
        return super().apply(event)


def replay(subject, total, script):
    """Run a script of attempts and return what the caller saw.

    Each attempt sends from where it was asked to; ``script`` says how far
    it gets, how its chunks overlap, and which of them cross with those of
    the attempt before. The result is (bytes, finished, failed).
    """
    seen = b''
    finished = failed = False
    attempt, start, late = 0, 0, []
    queue = []
    for reach, overlap, cross in script:
        stop = min(total, start + reach)
        queue.append(events.HeadReceived(attempt=attempt, status=200))
        for index in range(start, stop):
            first = max(start, index - overlap)
            queue.append(make_chunk(attempt, first, index - first + 1))
        if cross:
            queue = [
                item for pair in zip(late, queue) for item in pair
            ] + queue
        late = queue[-3:]
        if stop == total:
            queue.append(events.EndReceived(attempt=attempt, total=total))
        else:
            queue.append(events.AttemptBroken(attempt=attempt, reason='cut'))
        for event in queue:
            for decision in subject.apply(event):
                match decision:
                    case decisions.Deliver():
                        seen += decision.data
                    case decisions.Finish():
                        finished = True
                    case decisions.Fail():
                        failed = True
                    case decisions.Resume():
                        attempt, start = decision.attempt, decision.index
        queue = []
        if finished or failed:
            break
    return seen, finished, failed


STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 6),
        strategies.integers(0, 3),
        strategies.booleans(),
    ),
    min_size=1,
    max_size=6,
)


class AssemblyTests(unittest.TestCase):
    """Test that an answer is whole or fails."""

    @FIXED
    @hypothesis.given(strategies.integers(1, 12), STEPS)
    def test_caller_sees_a_prefix_and_finishes_only_on_the_whole(
        self, total, script
    ):
        whole = make_chunk(0, 0, total).data
        subject = assembly.Assembly(resumable=True)
        seen, finished, failed = replay(subject, total, script)
        self.assertTrue(whole.startswith(seen))
        self.assertFalse(finished and failed)
        if finished:
            self.assertEqual(whole, seen)

    def test_mutations_are_caught(self):
        # Attempts overlap their own chunks, and late chunks of the first
        # attempt cross with those of the second.
        whole = make_chunk(0, 0, 5).data
        script = [(3, 2, False), (5, 1, True)]
        good = replay(assembly.Assembly(resumable=True), 5, script)
        self.assertEqual((whole, True, False), good)
        forgetful = replay(ForgetfulAssembly(resumable=True), 5, script)
        self.assertNotEqual(whole, forgetful[0])
        careless = CarelessAssembly(resumable=True)
        careless.apply(events.HeadReceived(attempt=0, status=200))
        end = events.EndReceived(attempt=0, total=3)
        self.assertEqual((decisions.Finish(),), careless.apply(end))

    def test_end_before_the_last_event_is_not_an_end(self):
        subject = assembly.Assembly(resumable=False)
        subject.apply(events.HeadReceived(attempt=0, status=200))
        subject.apply(make_chunk(0, 0, 2))
        self.assertEqual(
            (decisions.Fail(reason='truncated', started=True),),
            subject.apply(events.EndReceived(attempt=0, total=3)),
        )

    def test_late_pieces_of_a_given_up_attempt_change_nothing(self):
        for kind in (assembly.Assembly, TrustingAssembly):
            subject = kind(resumable=True)
            subject.apply(events.HeadReceived(attempt=0, status=200))
            subject.apply(make_chunk(0, 0, 2))
            subject.apply(events.AttemptBroken(attempt=0, reason='cut'))
            late = subject.apply(events.EndReceived(attempt=0, total=2))
            if kind is assembly.Assembly:
                self.assertEqual((), late)
            else:
                self.assertEqual((decisions.Finish(),), late)

    def test_resumes_are_bounded_and_then_fail(self):
        subject = assembly.Assembly(resumable=True, resumes_limit=2)
        seen = []
        for attempt in range(3):
            event = events.AttemptBroken(attempt=attempt, reason='cut')
            seen.extend(subject.apply(event))
        self.assertEqual(
            [
                decisions.Resume(attempt=1, index=0),
                decisions.Resume(attempt=2, index=0),
                decisions.Fail(reason='cut', started=False),
            ],
            seen,
        )

    def test_answer_over_the_kept_limit_fails_instead_of_resuming(self):
        subject = assembly.Assembly(resumable=True, kept_limit_bytes=10)
        subject.apply(events.HeadReceived(attempt=0, status=200))
        subject.apply(make_chunk(0, 0, 4))
        self.assertEqual(
            (decisions.Fail(reason='cut', started=True),),
            subject.apply(events.AttemptBroken(attempt=0, reason='cut')),
        )

"""Test the reassembly of answers."""

import unittest

import hypothesis
from hypothesis import strategies

from savoryyoke.streams import assembly
from savoryyoke.streams import decisions
from savoryyoke.streams import events

EXAMPLES = 400
DETERMINISTIC = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=EXAMPLES
)


def make_chunk(attempt, index, count):
    data = b''.join(b'token %d\n\n' % (index + i) for i in range(count))
    return events.ChunkReceived(
        attempt=attempt, index=index, count=count, data=data
    )


class RepeatingAssembly(assembly.Assembly):
    """Deliver events again that were delivered before, as a faulty variant."""

    def _skip_delivered(self, event):
        return event.data


class AnyAttemptAssembly(assembly.Assembly):
    """Accept events of any attempt, as a faulty variant."""

    def _is_outdated(self, event):
        return self._is_closed


class UncheckedEndAssembly(assembly.Assembly):
    """Finish without checking the number of events, as a faulty variant."""

    def apply(self, event):
        if isinstance(event, events.EndReceived) and not self._is_closed:
            self._is_closed = True
            return (decisions.Finish(),)
        return super().apply(event)


def replay(answer_assembly, total, script):
    """Simulate attempts and return the bytes sent to the caller.

    Each item of ``script`` describes one attempt as a tuple: how many events
    it sends from the requested one on, by how many events its chunks overlap,
    and whether the last events of the attempt before arrive between its own.
    ``total`` is the number of events of the whole answer. The result is a
    tuple (bytes, finished, failed).
    """
    received = b''
    finished = failed = False
    attempt, start, earlier_events = 0, 0, []
    queue = []
    for event_count, overlap, is_interleaved in script:
        end = min(total, start + event_count)
        queue.append(events.HeadReceived(attempt=attempt, status=200))
        for index in range(start, end):
            first = max(start, index - overlap)
            queue.append(make_chunk(attempt, first, index - first + 1))
        if is_interleaved:
            queue = [
                event for pair in zip(earlier_events, queue) for event in pair
            ] + queue
        earlier_events = queue[-3:]
        if end == total:
            queue.append(events.EndReceived(attempt=attempt, total=total))
        else:
            queue.append(events.AttemptBroken(attempt=attempt, reason='cut'))
        for event in queue:
            for decision in answer_assembly.apply(event):
                match decision:
                    case decisions.Deliver():
                        received += decision.data
                    case decisions.Finish():
                        finished = True
                    case decisions.Fail():
                        failed = True
                    case decisions.Resume():
                        attempt, start = decision.attempt, decision.index
        queue = []
        if finished or failed:
            break
    return received, finished, failed


SCRIPTS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 6),
        strategies.integers(0, 3),
        strategies.booleans(),
    ),
    min_size=1,
    max_size=6,
)


class AssemblyTests(unittest.TestCase):
    """Test that an answer is delivered completely or fails."""

    @DETERMINISTIC
    @hypothesis.given(strategies.integers(1, 12), SCRIPTS)
    def test_caller_gets_a_prefix_and_finish_only_for_the_whole_answer(
        self, total, script
    ):
        whole = make_chunk(0, 0, total).data
        answer_assembly = assembly.Assembly(resumable=True)
        received, finished, failed = replay(answer_assembly, total, script)
        self.assertTrue(whole.startswith(received))
        self.assertFalse(finished and failed)
        if finished:
            self.assertEqual(whole, received)

    def test_faulty_variants_are_detected(self):
        # The chunks of each attempt overlap, and events of the first attempt
        # arrive between those of the second.
        whole = make_chunk(0, 0, 5).data
        script = [(3, 2, False), (5, 1, True)]
        correct = replay(assembly.Assembly(resumable=True), 5, script)
        self.assertEqual((whole, True, False), correct)
        repeating = replay(RepeatingAssembly(resumable=True), 5, script)
        self.assertNotEqual(whole, repeating[0])
        unchecked_end = UncheckedEndAssembly(resumable=True)
        unchecked_end.apply(events.HeadReceived(attempt=0, status=200))
        end = events.EndReceived(attempt=0, total=3)
        self.assertEqual((decisions.Finish(),), unchecked_end.apply(end))

    def test_answer_that_ends_before_its_last_event_fails(self):
        answer_assembly = assembly.Assembly(resumable=False)
        answer_assembly.apply(events.HeadReceived(attempt=0, status=200))
        answer_assembly.apply(make_chunk(0, 0, 2))
        self.assertEqual(
            (decisions.Fail(reason='truncated', started=True),),
            answer_assembly.apply(events.EndReceived(attempt=0, total=3)),
        )

    def test_events_of_an_earlier_attempt_have_no_effect(self):
        for assembly_class in (assembly.Assembly, AnyAttemptAssembly):
            answer_assembly = assembly_class(resumable=True)
            answer_assembly.apply(events.HeadReceived(attempt=0, status=200))
            answer_assembly.apply(make_chunk(0, 0, 2))
            answer_assembly.apply(
                events.AttemptBroken(attempt=0, reason='cut')
            )
            decided = answer_assembly.apply(
                events.EndReceived(attempt=0, total=2)
            )
            if assembly_class is assembly.Assembly:
                self.assertEqual((), decided)
            else:
                self.assertEqual((decisions.Finish(),), decided)

    def test_answer_fails_when_its_resumes_are_used_up(self):
        answer_assembly = assembly.Assembly(resumable=True, resumes_limit=2)
        received = []
        for attempt in range(3):
            event = events.AttemptBroken(attempt=attempt, reason='cut')
            received.extend(answer_assembly.apply(event))
        self.assertEqual(
            [
                decisions.Resume(attempt=1, index=0),
                decisions.Resume(attempt=2, index=0),
                decisions.Fail(reason='cut', started=False),
            ],
            received,
        )

    def test_answer_over_the_buffer_limit_fails_instead_of_resuming(self):
        answer_assembly = assembly.Assembly(
            resumable=True, resume_buffer_limit_bytes=10
        )
        answer_assembly.apply(events.HeadReceived(attempt=0, status=200))
        answer_assembly.apply(make_chunk(0, 0, 4))
        self.assertEqual(
            (decisions.Fail(reason='cut', started=True),),
            answer_assembly.apply(
                events.AttemptBroken(attempt=0, reason='cut')
            ),
        )

"""Check the answers to callers against a record of all actual runs."""

import collections
import dataclasses

from savoryyoke.calls import outcomes


class FalseAnswer(AssertionError):
    """Report a second run of a call or an answer that was not true."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """Hold a run of a call by the application."""

    fingerprint: bytes
    answer: outcomes.Answer


class Oracle:
    """Record runs, refusals and arrivals; raise ``FalseAnswer`` on a fault.

    ``counts`` counts the outcomes by class name and by reason.
    """

    def __init__(self):
        self.runs_by_key = {}
        self.refused_s_by_key = {}
        self.arrived_s_by_attempt = {}
        self.double_runs = 0
        self.counts = collections.Counter()

    def record_arrival(self, *, attempt_id, now_s):
        """Record that a caller's request reached the VM of an entry."""
        self.arrived_s_by_attempt[attempt_id] = now_s

    def record_run(self, *, key, attempt_id, run):
        """Record a run of the call that ``attempt_id`` put into the queue."""
        if key in self.runs_by_key:
            self.double_runs += 1
            raise FalseAnswer(f'{key} ran twice')
        self.runs_by_key[key] = run
        refused_s = self.refused_s_by_key.get(key, -1.0)
        if self.arrived_s_by_attempt[attempt_id] <= refused_s:
            raise FalseAnswer(f'{key} ran after it was refused')

    def check_outcome(self, *, key, fingerprint, outcome, now_s):
        """Check an outcome that was delivered to a caller."""
        self.counts[type(outcome).__name__] += 1
        reason = getattr(outcome, 'reason', None)
        if reason is not None:
            self.counts[reason] += 1
        run = self.runs_by_key.get(key)
        if isinstance(outcome, outcomes.NotRun):
            self.refused_s_by_key[key] = now_s
            if run is not None:
                raise FalseAnswer(f'{key} was refused although it ran')
        if isinstance(outcome, outcomes.Ran):
            expected = Run(fingerprint=fingerprint, answer=outcome.answer)
            if run != expected:
                raise FalseAnswer(f'{key} got the answer of another run')
        if isinstance(outcome, outcomes.RanWithoutAnswer):
            if run is None or run.fingerprint != fingerprint:
                raise FalseAnswer(f'{key} did not run')

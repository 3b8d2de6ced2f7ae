"""Keep the answers that an entry has forwarded."""

import collections
import dataclasses

from savoryyoke.calls import outcomes


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardedAnswer:
    """Hold the outcome of a call that ran and its request's fingerprint."""

    fingerprint: bytes
    outcome: outcomes.Ran


class ForwardedAnswers:
    """Keep the newest answers, limited in number and in bytes.

    The answer of a call that ran never changes, so an entry may repeat it
    after the process that ran the call is gone.
    """

    def __init__(self, *, limits):
        self._limit = limits.forwarded_limit
        self._limit_bytes = limits.forwarded_limit_bytes
        self._answers_by_key = collections.OrderedDict()
        self.total_bytes = 0

    def add(self, *, key, fingerprint, outcome):
        """Keep ``outcome`` if it is ``Ran``; ignore it otherwise."""
        if not isinstance(outcome, outcomes.Ran):
            return
        self._remove(key)
        self._answers_by_key[key] = ForwardedAnswer(
            fingerprint=fingerprint, outcome=outcome
        )
        self.total_bytes += outcome.answer.size_bytes
        while self._is_over_limits():
            self._remove(next(iter(self._answers_by_key)))

    def find(self, *, key, fingerprint):
        """Return the outcome kept for ``key``, or None.

        The outcome is ``Rejected`` if another request used the key.
        """
        forwarded = self._answers_by_key.get(key)
        if forwarded is None:
            return None
        if forwarded.fingerprint != fingerprint:
            return outcomes.Rejected(
                reason=outcomes.RejectionReason.KEY_REUSED
            )
        return forwarded.outcome

    def _is_over_limits(self):
        return (
            len(self._answers_by_key) > self._limit
            or self.total_bytes > self._limit_bytes
        )

    def _remove(self, key):
        forwarded = self._answers_by_key.pop(key, None)
        if forwarded is not None:
            self.total_bytes -= forwarded.outcome.answer.size_bytes

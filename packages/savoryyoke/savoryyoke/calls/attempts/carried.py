"""Keep the answers that an entry has forwarded."""

import collections
import dataclasses

from savoryyoke.calls import outcomes


@dataclasses.dataclass(frozen=True, kw_only=True)
class CarriedAnswer:
    """Hold the outcome of a call that ran and its request's fingerprint."""

    fingerprint: bytes
    outcome: outcomes.Ran


class CarriedAnswers:
    """Keep the newest answers, limited in number and in bytes.

    The answer of a call that ran never changes, so an entry may repeat it
    after the process that ran the call is gone.
    """

    def __init__(self, *, limits):
        self._limit = limits.carried_limit
        self._limit_bytes = limits.carried_limit_bytes
        self._answers_by_key = collections.OrderedDict()
        self.total_bytes = 0

    def add(self, *, key, fingerprint, outcome):
        """Keep ``outcome`` if it is ``Ran``; ignore it otherwise."""
        if not isinstance(outcome, outcomes.Ran):
            return
        self._remove(key)
        self._answers_by_key[key] = CarriedAnswer(
            fingerprint=fingerprint, outcome=outcome
        )
        self.total_bytes += outcome.answer.size_bytes
        while self._is_over_limits():
            self._remove(next(iter(self._answers_by_key)))

    def find(self, *, key, fingerprint):
        """Return the outcome kept for ``key``, or None.

        The outcome is ``Rejected`` if another request used the key.
        """
        carried = self._answers_by_key.get(key)
        if carried is None:
            return None
        if carried.fingerprint != fingerprint:
            return outcomes.Rejected(
                reason=outcomes.RejectionReason.KEY_REUSED
            )
        return carried.outcome

    def _is_over_limits(self):
        return (
            len(self._answers_by_key) > self._limit
            or self.total_bytes > self._limit_bytes
        )

    def _remove(self, key):
        carried = self._answers_by_key.pop(key, None)
        if carried is not None:
            self.total_bytes -= carried.outcome.answer.size_bytes

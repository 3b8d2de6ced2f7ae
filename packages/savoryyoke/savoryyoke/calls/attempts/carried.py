"""Remember the answers that an entry has passed on."""

import collections
import dataclasses

from savoryyoke.calls import outcomes


@dataclasses.dataclass(frozen=True, kw_only=True)
class CarriedAnswer:
    """Hold the true outcome of a call that ran."""

    fingerprint: bytes
    outcome: outcomes.Ran


class CarriedAnswers:
    """Keep the newest answers within limits of number and bytes.

    That a call ran stays true for ever, so a copy may be repeated when the
    authority over the key is gone.
    """

    def __init__(self, *, limits):
        self._limit = limits.carried_limit
        self._limit_bytes = limits.carried_limit_bytes
        self._answers_by_key = collections.OrderedDict()
        self.total_bytes = 0

    def remember(self, *, key, fingerprint, outcome):
        """Keep ``outcome`` if it is a whole answer."""
        if not isinstance(outcome, outcomes.Ran):
            return
        self._forget(key)
        self._answers_by_key[key] = CarriedAnswer(
            fingerprint=fingerprint, outcome=outcome
        )
        self.total_bytes += outcome.answer.size_bytes
        while self._is_over_limits():
            self._forget(next(iter(self._answers_by_key)))

    def recall(self, *, key, fingerprint):
        """Return the outcome kept for the same request, or None."""
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

    def _forget(self, key):
        carried = self._answers_by_key.pop(key, None)
        if carried is not None:
            self.total_bytes -= carried.outcome.answer.size_bytes

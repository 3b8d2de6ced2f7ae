"""Hold the newest stamp of each ledger and who answers for it."""

import collections

from savoryyoke.calls import keys

BOOKS_LIMIT = 8192


class StampBook:
    """Hold what the targets said about the clocks of their ledgers."""

    def __init__(self, *, limit=BOOKS_LIMIT):
        self._limit = limit
        self._stamps_by_incarnation = collections.OrderedDict()

    def take(self, stamps):
        """Take the stamps of one message; older ones change nothing."""
        for stamp in stamps:
            known = self._stamps_by_incarnation.get(stamp.incarnation)
            if known is not None and known.stamp_ms > stamp.stamp_ms:
                continue
            self._stamps_by_incarnation[stamp.incarnation] = stamp
            self._stamps_by_incarnation.move_to_end(stamp.incarnation)
        while len(self._stamps_by_incarnation) > self._limit:
            self._stamps_by_incarnation.popitem(last=False)

    def get(self, incarnation):
        """Return the newest stamp of an incarnation's ledger, or None."""
        return self._stamps_by_incarnation.get(incarnation)

    def bind(self, *, service, target_id, incarnation):
        """Return the binding for new keys of a target, or None."""
        stamp = self._stamps_by_incarnation.get(incarnation)
        if stamp is None:
            return None
        return keys.Binding(
            service=service,
            target_id=target_id,
            incarnation=incarnation,
            window=stamp.stamp_ms // stamp.window_ms,
        )

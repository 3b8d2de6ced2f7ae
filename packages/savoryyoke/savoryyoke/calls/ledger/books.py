"""Keep the records of one incarnation of a target process."""

import collections

from savoryyoke.calls import conf
from savoryyoke.calls import keys
from savoryyoke.calls.ledger import records
from savoryyoke.calls.ledger import snapshots


class Book:
    """Hold the records, the clock and the floors of one incarnation.

    The clock counts milliseconds since the process of that incarnation
    started and goes on at an heir. Unknown keys of windows below
    ``accept_floor`` never run; records of windows below ``record_floor`` may
    be gone. Attempts on unknown keys with a stamp not newer than
    ``seal_floor_ms`` are void. A book of an heir is ``confirmed`` once the
    authority has moved to it.
    """

    def __init__(
        self, *, target_id, incarnation, window_ms, clock_ms, now_s, source
    ):
        self.target_id = target_id
        self.incarnation = incarnation
        self.window_ms = window_ms
        self.source = source
        self.source_lost = False
        self.confirmed = source is None
        self.confirmable = True
        self.accept_floor = 0
        self.record_floor = 0
        self.seal_floor_ms = records.NEVER_SEALED_MS
        self.record_count = 0
        # The newest window of which keys can exist at an heir.
        self.last_window = clock_ms // window_ms
        self._base_ms = clock_ms
        self._base_s = now_s
        self._records_by_window = {}
        self._folds = collections.deque()

    def clock_ms(self, *, now_s):
        """Return the clock of the incarnation, in whole milliseconds."""
        elapsed_ms = (now_s - self._base_s) * conf.MILLISECONDS_PER_SECOND
        return self._base_ms + int(elapsed_ms)

    def window(self, *, now_s):
        """Return the number of the present window."""
        return self.clock_ms(now_s=now_s) // self.window_ms

    def window_start_ms(self, key):
        """Return the clock before which ``key`` cannot have existed."""
        return key.window * self.window_ms

    def find(self, key):
        """Return the record of ``key`` or None."""
        return self._records_by_window.get(key.window, {}).get(key.suffix)

    def key(self, record):
        """Return the key of ``record``."""
        return keys.BoundKey(
            target_id=self.target_id,
            incarnation=self.incarnation,
            window=record.window,
            suffix=record.suffix,
        )

    def add(self, key, *, fingerprint, phase):
        """Add and return a record for an unknown ``key``."""
        record = records.Record(
            book=self,
            suffix=key.suffix,
            window=key.window,
            fingerprint=fingerprint,
            phase=phase,
        )
        self._records_by_window.setdefault(key.window, {})[key.suffix] = record
        self.record_count += 1
        return record

    def seal(self, record, *, seal_ms):
        """Void all attempts on ``record`` up to the stamp ``seal_ms``."""
        record.phase = records.Phase.SEALED
        record.seal_ms = max(record.seal_ms, seal_ms)
        if not record.fold_due:
            record.fold_due = True
            self._folds.append((record.seal_ms, record))

    def seal_unknown(self, *, seal_ms):
        """Void all attempts on unknown keys up to the stamp ``seal_ms``."""
        self.seal_floor_ms = max(self.seal_floor_ms, seal_ms)

    def fold_seals(self, *, before_ms):
        """Fold seals older than ``before_ms`` into the floor.

        A seal needs no record of its own once the floor covers it.
        """
        while self._folds and self._folds[0][0] < before_ms:
            _, record = self._folds.popleft()
            record.fold_due = False
            if record.phase is not records.Phase.SEALED:
                continue
            if record.seal_ms >= before_ms:
                self.seal(record, seal_ms=record.seal_ms)
                continue
            self.seal_unknown(seal_ms=record.seal_ms)
            self._drop(record)

    def drop_windows(self, *, below, count_limit=None):
        """Drop finished records of windows below ``below``; return them.

        The floor is raised first. Stops after a window that brings the
        number of records dropped to ``count_limit``.
        """
        dropped = []
        windows = [w for w in self._records_by_window if w < below]
        for window in sorted(windows):
            if count_limit is not None and len(dropped) >= count_limit:
                return dropped
            self.record_floor = max(self.record_floor, window + 1)
            for record in tuple(self._records_by_window[window].values()):
                if self._is_droppable(record):
                    self._drop(record)
                    dropped.append(record)
        if count_limit is None:
            self.record_floor = max(self.record_floor, below)
        return dropped

    def copy(self, *, stamp_ms):
        """Return a copy for an heir, which goes on from ``stamp_ms``."""
        copies = (
            snapshots.copy_record(record, answer=record.answer)
            for record in self.records()
        )
        return snapshots.BookCopy(
            target_id=self.target_id,
            incarnation=self.incarnation,
            window_ms=self.window_ms,
            stamp_ms=stamp_ms,
            accept_floor=self.accept_floor,
            record_floor=self.record_floor,
            seal_floor_ms=self.seal_floor_ms,
            confirmed=self.confirmed,
            records=tuple(copies),
        )

    def records(self):
        """Yield all records."""
        for by_suffix in self._records_by_window.values():
            yield from by_suffix.values()

    def _is_droppable(self, record):
        if record.phase is records.Phase.ELSEWHERE:
            return self.source_lost
        return record.phase not in records.IN_PROGRESS

    def _drop(self, record):
        by_suffix = self._records_by_window.get(record.window, {})
        if by_suffix.get(record.suffix) is not record:
            return
        del by_suffix[record.suffix]
        self.record_count -= 1
        if not by_suffix:
            del self._records_by_window[record.window]


def restore_book(copy, *, source, now_s):
    """Return the book of a ``BookCopy`` sent by ``source``.

    Its clock starts one past the last stamp of the sender, so that each
    stamp of the heir is newer.
    """
    book = Book(
        target_id=copy.target_id,
        incarnation=copy.incarnation,
        window_ms=copy.window_ms,
        clock_ms=copy.stamp_ms + 1,
        now_s=now_s,
        source=source,
    )
    book.confirmable = copy.confirmed
    book.accept_floor = copy.accept_floor
    book.record_floor = copy.record_floor
    book.seal_floor_ms = copy.seal_floor_ms
    for record_copy in copy.records:
        record = book.add(
            record_copy.key,
            fingerprint=record_copy.fingerprint,
            phase=record_copy.phase,
        )
        record.seal_ms = record_copy.seal_ms
        record.status = record_copy.status
        record.answer = record_copy.answer
        if record.phase is records.Phase.SEALED:
            book.seal(record, seal_ms=record_copy.seal_ms)
    return book

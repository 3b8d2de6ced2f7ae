"""Keep the records of one incarnation of a target process."""

import collections

from savoryyoke.calls import conf
from savoryyoke.calls import keys
from savoryyoke.calls.ledger import records
from savoryyoke.calls.ledger import snapshots


class RecordTable:
    """Hold the records, the clock and the floors of one incarnation.

    The clock counts milliseconds since the process of that incarnation
    started, and continues at an heir. Keys without a record in windows below
    ``accept_floor`` never run. Records of windows below ``record_floor`` may
    have been dropped. Attempts on keys without a record are void if their
    stamp is not newer than ``seal_floor_ms``.

    ``export_id`` identifies the export that a table came from, as incarnation
    of the sender and export number; it is None for the process's own table.
    An imported table is ``confirmed`` once the authority has moved here. The
    event ``HeirConfirmed`` confirms it only if it ``was_confirmed_at_source``.
    """

    def __init__(
        self, *, target_id, incarnation, window_ms, clock_ms, now_s, export_id
    ):
        self.target_id = target_id
        self.incarnation = incarnation
        self.window_ms = window_ms
        self.export_id = export_id
        self.source_process_lost = False
        self.confirmed = export_id is None
        self.was_confirmed_at_source = True
        self.accept_floor = 0
        self.record_floor = 0
        self.seal_floor_ms = records.NEVER_SEALED_MS
        self.record_count = 0
        # For an imported table, no keys exist in windows after this one.
        self.last_window = clock_ms // window_ms
        self._base_ms = clock_ms
        self._base_s = now_s
        self._records_by_window = {}
        self._seal_queue = collections.deque()

    def clock_ms(self, *, now_s):
        """Return the clock of the incarnation, in whole milliseconds."""
        elapsed_ms = (now_s - self._base_s) * conf.MILLISECONDS_PER_SECOND
        return self._base_ms + int(elapsed_ms)

    def current_window(self, *, now_s):
        """Return the number of the current window."""
        return self.clock_ms(now_s=now_s) // self.window_ms

    def window_start_ms(self, key):
        """Return the clock at the start of the key's window, in ms.

        No attempt on ``key`` can have arrived earlier.
        """
        return key.window * self.window_ms

    def find_record(self, key):
        """Return the record of ``key`` or None."""
        return self._records_by_window.get(key.window, {}).get(key.suffix)

    def make_key(self, record):
        """Return the key of ``record``."""
        return keys.BoundKey(
            target_id=self.target_id,
            incarnation=self.incarnation,
            window=record.window,
            suffix=record.suffix,
        )

    def add(self, key, *, fingerprint, phase):
        """Add and return a record for ``key``, which must have none."""
        record = records.Record(
            table=self,
            suffix=key.suffix,
            window=key.window,
            fingerprint=fingerprint,
            phase=phase,
        )
        self._records_by_window.setdefault(key.window, {})[key.suffix] = record
        self.record_count += 1
        return record

    def seal(self, record, *, seal_ms):
        """Void the attempts on ``record`` with stamps up to ``seal_ms``."""
        record.phase = records.Phase.SEALED
        record.seal_ms = max(record.seal_ms, seal_ms)
        if not record.is_in_seal_queue:
            record.is_in_seal_queue = True
            self._seal_queue.append((record.seal_ms, record))

    def raise_seal_floor(self, *, seal_ms):
        """Void attempts on keys without a record, up to ``seal_ms``."""
        self.seal_floor_ms = max(self.seal_floor_ms, seal_ms)

    def fold_seals(self, *, before_ms):
        """Replace seals older than ``before_ms`` by a higher seal floor.

        A seal needs no record of its own once the floor covers it.
        """
        while self._seal_queue and self._seal_queue[0][0] < before_ms:
            _, record = self._seal_queue.popleft()
            record.is_in_seal_queue = False
            if record.phase is not records.Phase.SEALED:
                continue
            if record.seal_ms >= before_ms:
                self.seal(record, seal_ms=record.seal_ms)
                continue
            self.raise_seal_floor(seal_ms=record.seal_ms)
            self._drop(record)

    def drop_windows(self, *, below, count_limit=None):
        """Drop the ended records of windows below ``below``; return them.

        The record floor is raised before records are dropped. Stops after
        the window in which ``count_limit`` is reached, if one is given.
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
        """Return a copy for an heir; ``stamp_ms`` is the last stamp sent."""
        copies = (
            snapshots.copy_record(record, answer=record.answer)
            for record in self.records()
        )
        return snapshots.RecordTableCopy(
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
            return self.source_process_lost
        return record.phase not in records.IN_PROGRESS

    def _drop(self, record):
        by_suffix = self._records_by_window.get(record.window, {})
        if by_suffix.get(record.suffix) is not record:
            return
        del by_suffix[record.suffix]
        self.record_count -= 1
        if not by_suffix:
            del self._records_by_window[record.window]


def restore_table(copy, *, export_id, now_s):
    """Return the table restored from ``copy``, a ``RecordTableCopy``.

    Its clock starts 1 ms after the last stamp of the sender, so that each
    stamp of the heir is newer.
    """
    table = RecordTable(
        target_id=copy.target_id,
        incarnation=copy.incarnation,
        window_ms=copy.window_ms,
        clock_ms=copy.stamp_ms + 1,
        now_s=now_s,
        export_id=export_id,
    )
    table.was_confirmed_at_source = copy.confirmed
    table.accept_floor = copy.accept_floor
    table.record_floor = copy.record_floor
    table.seal_floor_ms = copy.seal_floor_ms
    for record_copy in copy.records:
        record = table.add(
            record_copy.key,
            fingerprint=record_copy.fingerprint,
            phase=record_copy.phase,
        )
        record.seal_ms = record_copy.seal_ms
        record.status = record_copy.status
        record.answer = record_copy.answer
        if record.phase is records.Phase.SEALED:
            table.seal(record, seal_ms=record_copy.seal_ms)
    return table

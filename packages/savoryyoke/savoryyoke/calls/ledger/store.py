"""Keep the records of all incarnations that a process decides on."""

from savoryyoke.calls.ledger import records
from savoryyoke.calls.ledger import tables as record_tables


class RecordStore:
    """Hold one table for each incarnation, within the ledger's limits."""

    def __init__(self, *, limits):
        self._limits = limits
        self.tables_by_incarnation = {}
        self.answers = records.AnswerCache(
            answer_limit_bytes=limits.answer_limit_bytes,
            total_limit_bytes=limits.answers_limit_bytes,
        )

    @property
    def record_count(self):
        """Return the number of records of all tables."""
        return sum(table.record_count for table in self.tables)

    @property
    def tables(self):
        """Return all tables."""
        return tuple(self.tables_by_incarnation.values())

    def find_table(self, key):
        """Return the table that ``key`` belongs to, or None."""
        table = self.tables_by_incarnation.get(key.incarnation)
        if table is None or table.target_id != key.target_id:
            return None
        return table

    def find_record(self, key):
        """Return the record of ``key`` or None."""
        table = self.find_table(key)
        return None if table is None else table.find_record(key)

    def accept_floor(self, table, *, now_s):
        """Return the oldest window whose keys without a record may run."""
        newest = table.current_window(now_s=now_s)
        floor = newest - self._limits.accept_windows + 1
        table.accept_floor = max(table.accept_floor, floor)
        return table.accept_floor

    def make_room(self, *, now_s):
        """Return whether one more record fits, after dropping old ones.

        If the limit is reached, records of closed windows are dropped and
        seals are replaced by the seal floor earlier than usual. Records of
        keys that may still run are never dropped.
        """
        if self.record_count < self._limits.record_limit:
            return True
        for table in self.tables:
            floor = self.accept_floor(table, now_s=now_s)
            self._drop_answers(table.drop_windows(below=floor, count_limit=1))
            if self.record_count < self._limits.record_limit:
                return True
        for table in self.tables:
            before_ms = table.clock_ms(now_s=now_s)
            before_ms -= self._limits.seal_early_fold_ms
            table.fold_seals(before_ms=before_ms)
        return self.record_count < self._limits.record_limit

    def drop_expired(self, *, now_s):
        """Drop records by age, and imported tables without valid keys."""
        for incarnation, table in tuple(self.tables_by_incarnation.items()):
            clock_ms = table.clock_ms(now_s=now_s)
            table.fold_seals(before_ms=clock_ms - self._limits.seal_fold_ms)
            newest = table.current_window(now_s=now_s)
            below = max(0, newest - self._limits.record_windows + 1)
            self._drop_answers(table.drop_windows(below=below))
            if table.export_id is not None and self._is_expired(table):
                del self.tables_by_incarnation[incarnation]

    def import_snapshot(self, snapshot, *, now_s):
        """Import the tables of ``snapshot``; return whether they are stored.

        A later export replaces an earlier one of the same process, unless
        the earlier one has been confirmed. Nothing is imported if the limits
        don't allow all of it.
        """
        export_id = (snapshot.source_incarnation, snapshot.export_number)
        if all(self._is_imported(copy, export_id) for copy in snapshot.books):
            return True
        if not self._can_import(snapshot, export_id):
            return False
        for copy in snapshot.books:
            self._remove_table(copy.incarnation)
            table = record_tables.restore_table(
                copy, export_id=export_id, now_s=now_s
            )
            self.tables_by_incarnation[copy.incarnation] = table
            for record in table.records():
                if record.answer is not None:
                    self.answers.keep(record, record.answer)
        return True

    def _is_imported(self, copy, export_id):
        table = self.tables_by_incarnation.get(copy.incarnation)
        return table is not None and table.export_id == export_id

    def _can_import(self, snapshot, export_id):
        record_count = self.record_count
        table_count = len(self.tables_by_incarnation)
        for copy in snapshot.books:
            record_count += len(copy.records)
            table_count += 1
            existing = self.tables_by_incarnation.get(copy.incarnation)
            if existing is None:
                continue
            if not _is_replaceable(existing, export_id):
                return False
            record_count -= existing.record_count
            table_count -= 1
        return (
            record_count <= self._limits.record_limit
            and table_count <= self._limits.table_limit
        )

    def _remove_table(self, incarnation):
        table = self.tables_by_incarnation.pop(incarnation, None)
        if table is not None:
            self._drop_answers(table.records())

    def _drop_answers(self, dropped):
        for record in dropped:
            self.answers.drop(record)

    def _is_expired(self, table):
        return (
            table.record_count == 0 and table.record_floor > table.last_window
        )


def _is_replaceable(table, export_id):
    if table.confirmed or table.export_id is None:
        return False
    return (
        table.export_id[0] == export_id[0]
        and table.export_id[1] < export_id[1]
    )

"""Keep the books of all incarnations that a process answers for."""

from savoryyoke.calls.ledger import books as ledger_books
from savoryyoke.calls.ledger import records


class Library:
    """Hold the books within the limits of records and answer bytes."""

    def __init__(self, *, limits):
        self._limits = limits
        self.books_by_incarnation = {}
        self.answers = records.AnswerCache(
            answer_limit_bytes=limits.answer_limit_bytes,
            total_limit_bytes=limits.answers_limit_bytes,
        )

    @property
    def record_count(self):
        """Return the number of records of all books."""
        return sum(book.record_count for book in self.books)

    @property
    def books(self):
        """Return all books."""
        return tuple(self.books_by_incarnation.values())

    def find(self, key):
        """Return the book that ``key`` belongs to, or None."""
        book = self.books_by_incarnation.get(key.incarnation)
        if book is None or book.target_id != key.target_id:
            return None
        return book

    def find_record(self, key):
        """Return the record of ``key`` or None."""
        book = self.find(key)
        return None if book is None else book.find(key)

    def accept_floor(self, book, *, now_s):
        """Return the oldest window whose unknown keys may still run."""
        newest = book.window(now_s=now_s)
        floor = newest - self._limits.accept_windows + 1
        book.accept_floor = max(book.accept_floor, floor)
        return book.accept_floor

    def make_room(self, *, now_s):
        """Return whether one more record fits, dropping closed windows.

        Records of keys that may still run are never dropped for room; seals
        are folded earlier than usual.
        """
        if self.record_count < self._limits.record_limit:
            return True
        for book in self.books:
            floor = self.accept_floor(book, now_s=now_s)
            self._forget(book.drop_windows(below=floor, count_limit=1))
            if self.record_count < self._limits.record_limit:
                return True
        for book in self.books:
            before_ms = book.clock_ms(now_s=now_s)
            before_ms -= self._limits.seal_early_fold_ms
            book.fold_seals(before_ms=before_ms)
        return self.record_count < self._limits.record_limit

    def drop_old(self, *, now_s):
        """Drop records by age and books whose keys are all forgotten."""
        for incarnation, book in tuple(self.books_by_incarnation.items()):
            clock_ms = book.clock_ms(now_s=now_s)
            book.fold_seals(before_ms=clock_ms - self._limits.seal_fold_ms)
            newest = book.window(now_s=now_s)
            below = max(0, newest - self._limits.record_windows + 1)
            self._forget(book.drop_windows(below=below))
            if book.source is not None and self._is_spent(book):
                del self.books_by_incarnation[incarnation]

    def include(self, snapshot, *, now_s):
        """Return whether the books of ``snapshot`` are held.

        A later export replaces an earlier one of the same process, unless
        that one has been confirmed.
        """
        source = (snapshot.source_incarnation, snapshot.export_number)
        if all(self._holds(copy, source) for copy in snapshot.books):
            return True
        if not self._fits(snapshot, source):
            return False
        for copy in snapshot.books:
            self._remove(copy.incarnation)
            book = ledger_books.restore_book(copy, source=source, now_s=now_s)
            self.books_by_incarnation[copy.incarnation] = book
            for record in book.records():
                if record.answer is not None:
                    self.answers.keep(record, record.answer)
        return True

    def _holds(self, copy, source):
        book = self.books_by_incarnation.get(copy.incarnation)
        return book is not None and book.source == source

    def _fits(self, snapshot, source):
        record_count = self.record_count
        book_count = len(self.books_by_incarnation)
        for copy in snapshot.books:
            record_count += len(copy.records)
            book_count += 1
            held = self.books_by_incarnation.get(copy.incarnation)
            if held is None:
                continue
            if not _is_replaceable(held, source):
                return False
            record_count -= held.record_count
            book_count -= 1
        return (
            record_count <= self._limits.record_limit
            and book_count <= self._limits.book_limit
        )

    def _remove(self, incarnation):
        book = self.books_by_incarnation.pop(incarnation, None)
        if book is not None:
            self._forget(book.records())

    def _forget(self, dropped):
        for record in dropped:
            self.answers.drop(record)

    def _is_spent(self, book):
        return book.record_count == 0 and book.record_floor > book.last_window


def _is_replaceable(book, source):
    if book.confirmed or book.source is None:
        return False
    return book.source[0] == source[0] and book.source[1] < source[1]

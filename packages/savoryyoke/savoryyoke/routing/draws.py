"""Provide random numbers from a generator that the caller seeds."""

_NUMBERS_PER_BATCH = 1024


class RandomSource:
    """Read random numbers from a NumPy generator, in batches."""

    def __init__(self, *, generator):
        self._generator = generator
        self._values = []

    def next_float(self):
        """Return a random number from 0 up to but not including 1."""
        if not self._values:
            self._values = self._generator.random(_NUMBERS_PER_BATCH).tolist()
        return self._values.pop()

    def choose_item(self, items):
        """Return a random item of a sequence."""
        return items[int(self.next_float() * len(items))]

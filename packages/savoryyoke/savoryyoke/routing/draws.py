"""Draw random numbers from a generator that the caller seeds."""

_DRAWS_PER_BATCH = 1024


class Draws:
    """Draw random numbers from a seeded generator, in batches."""

    def __init__(self, *, generator):
        self._generator = generator
        self._values = []

    def draw(self):
        """Return a number from 0 up to but not including 1."""
        if not self._values:
            self._values = self._generator.random(_DRAWS_PER_BATCH).tolist()
        return self._values.pop()

    def pick(self, items):
        """Return one of the items of a sequence."""
        return items[int(self.draw() * len(items))]

"""Published values and the results of reading them."""

import dataclasses

# Epoch of a platform that doesn't report one.
FIRST_EPOCH = 0


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Revision:
    """Identify a state of the platform; revisions are ordered by age.

    ``number`` grows with each change within an ``epoch``. A platform that is
    restored from an older copy begins a new epoch, in which it uses numbers
    again for other changes.
    """

    epoch: int = FIRST_EPOCH
    number: int

    def __str__(self):
        return f'{self.epoch}.{self.number}'


# Revision of a view without any reading.
NO_REVISION = Revision(number=0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Item:
    """Hold one published value and the revision of its last change."""

    key: str
    revision: Revision
    value: bytes

    def is_same_write(self, other):
        """Return whether both items are from one write.

        A platform that was restored from a copy returns the items in it with
        their numbers, but in a new epoch.
        """
        return (
            self.revision.number == other.revision.number
            and self.value == other.value
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Removal:
    """Report that a key was removed at a revision."""

    key: str
    revision: Revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hold:
    """Report that a view overrules the restored platform for a key.

    The view keeps its item, or the removal of the key if it has no item, for
    another ``remaining_s`` seconds. ``overruled`` is the platform's item, or
    None if the platform lacks the key.
    """

    key: str
    remaining_s: float
    overruled: Item | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lapse:
    """Report that a view keeps an item whose lease expired in an outage.

    The platform lacks the key. The view removes the item in ``remaining_s``
    seconds unless it is published again.
    """

    key: str
    remaining_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """Hold all values as of a revision.

    ``items`` are those that the platform publishes or, in the snapshot of a
    peer, those that are in force there. ``holds`` and ``lapses`` tell how the
    latter differ from what the platform publishes.
    """

    as_of: Revision
    items: tuple[Item, ...]
    holds: tuple[Hold, ...] = ()
    lapses: tuple[Lapse, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
    """Hold the changes since an earlier revision, up to ``as_of``.

    Both revisions are of the same epoch. ``events`` are ordered by their
    revisions, and a key may occur several times.
    """

    as_of: Revision
    events: tuple[Item | Removal, ...]

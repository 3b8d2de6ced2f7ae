"""Keep values for a time although the platform lacks them."""

import dataclasses
import math

from savoryyoke.published import conf
from savoryyoke.published import models


@dataclasses.dataclass(frozen=True, kw_only=True)
class HoldTimes:
    """Hold how long accepted values outlast a platform that lacks them.

    ``leased_s`` applies to items with a lease: live owners write theirs again
    within it, and leases of dead owners expire. ``unversioned_s`` applies to
    items of operators without a version.
    """

    leased_s: float
    unversioned_s: float


class ItemOrder:
    """Compare the contents of items across epochs.

    ``is_leased(key)`` returns whether an item has a lease.
    ``read_version(item)`` returns a tuple that grows with each version of the
    item's content, or None if it has none.
    """

    def __init__(self, *, is_leased, read_version, hold_times):
        self.is_leased = is_leased
        self._read_version = read_version
        self._hold_times = hold_times

    def is_older(self, item, other):
        """Return whether ``item`` has an older version than ``other``."""
        other_version = self._read_version(other)
        if other_version is None:
            return False
        version = self._read_version(item)
        return version is None or version < other_version

    def never_reverts(self, item):
        """Return whether an item stays until a newer version is written."""
        return (
            not self.is_leased(item.key)
            and self._read_version(item) is not None
        )

    def hold_s(self, item):
        """Return how long an accepted item is kept, in seconds."""
        if self.never_reverts(item):
            return math.inf
        if self.is_leased(item.key):
            return self._hold_times.leased_s
        return self._hold_times.unversioned_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class Override:
    """Hold what is in force for a key until ``end_s``.

    ``item`` is None if the key is to be absent.
    """

    item: models.Item | None
    end_s: float


class Overrides:
    """Own the keys for which a view differs from the platform for a time."""

    def __init__(self):
        self._overrides_by_key = {}

    def __contains__(self, key):
        return key in self._overrides_by_key

    def __len__(self):
        return len(self._overrides_by_key)

    def start(self, key, *, item, end_s):
        """Override the platform's state of a key until ``end_s``."""
        self._overrides_by_key[key] = Override(item=item, end_s=end_s)

    def find(self, key):
        """Return the ``Override`` of a key, or None."""
        return self._overrides_by_key.get(key)

    def end(self, key):
        """End the override of a key, if there is one."""
        self._overrides_by_key.pop(key, None)

    def clear(self):
        """End all overrides."""
        self._overrides_by_key.clear()

    def extend(self, *, end_s):
        """Let none of the overrides end before ``end_s``."""
        for key, override in self._overrides_by_key.items():
            self._overrides_by_key[key] = dataclasses.replace(
                override, end_s=max(override.end_s, end_s)
            )

    def take_expired(self, *, now_s):
        """End the overrides whose time is over and return their keys."""
        expired_keys = [
            key
            for key, override in self._overrides_by_key.items()
            if override.end_s <= now_s
        ]
        for key in expired_keys:
            del self._overrides_by_key[key]
        return expired_keys

    def remaining_s_by_key(self, *, now_s, least_s):
        """Return how many seconds each override still lasts, by key.

        None is reported to last less than ``least_s``.
        """
        return {
            key: max(override.end_s - now_s, least_s)
            for key, override in self._overrides_by_key.items()
        }


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Removal:
    item: models.Item
    epoch: int
    removed_s: float


class Removals:
    """Own the last items of the keys that were removed recently.

    A platform that is restored from a copy made before a removal publishes
    the removed item again.
    """

    def __init__(self):
        self._removals_by_key = {}

    def record(self, item, *, epoch, now_s):
        """Record that an item was removed in an epoch."""
        self._removals_by_key[item.key] = _Removal(
            item=item, epoch=epoch, removed_s=now_s
        )

    def discard(self, key):
        """Forget the removal of a key that is published again."""
        self._removals_by_key.pop(key, None)

    def find(self, key):
        """Return the removed item of a key, or None."""
        removal = self._removals_by_key.get(key)
        return None if removal is None else removal.item

    def happened_in(self, epoch, key):
        """Return whether a key was removed in this epoch."""
        removal = self._removals_by_key.get(key)
        return removal is not None and removal.epoch == epoch

    def forget_old(self, *, now_s):
        """Forget removals that no copy of the platform can precede."""
        self._removals_by_key = {
            key: removal
            for key, removal in self._removals_by_key.items()
            if now_s - removal.removed_s <= conf.REMOVAL_MEMORY_S
        }

"""Keep accepted values while a restored platform lacks them."""

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
class _ActiveHold:
    overruled: models.Item | None
    end_s: float


class Holds:
    """Own the keys for which a view overrules the restored platform."""

    def __init__(self):
        self._holds_by_key = {}

    def __contains__(self, key):
        return key in self._holds_by_key

    def __len__(self):
        return len(self._holds_by_key)

    def start(self, key, *, overruled, end_s):
        """Overrule the platform's item ``overruled`` until ``end_s``."""
        self._holds_by_key[key] = _ActiveHold(overruled=overruled, end_s=end_s)

    def overrules(self, item):
        """Return whether this very item is overruled."""
        hold = self._holds_by_key.get(item.key)
        return (
            hold is not None
            and hold.overruled is not None
            and hold.overruled.is_same_write(item)
        )

    def end(self, key):
        """End the hold of a key, if there is one."""
        self._holds_by_key.pop(key, None)

    def clear(self):
        """End all holds."""
        self._holds_by_key.clear()

    def take_expired(self, *, now_s):
        """End the holds whose time is over; return overruled items by key."""
        expired = {
            key: hold.overruled
            for key, hold in self._holds_by_key.items()
            if hold.end_s <= now_s
        }
        for key in expired:
            del self._holds_by_key[key]
        return expired

    def report(self, *, now_s):
        """Return the ``Hold`` reports for a peer."""
        return tuple(
            models.Hold(
                key=key,
                remaining_s=hold.end_s - now_s,
                overruled=hold.overruled,
            )
            for key, hold in self._holds_by_key.items()
            if hold.end_s > now_s
        )


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

"""Apply readings of published values, but never an older revision."""

import functools

from savoryyoke.published import conf
from savoryyoke.published import models


class PublishedView:
    """Own the newest items, by key.

    Leased items that disappear during an outage of the platform, or right
    after it, are kept for ``LEASE_GRACE_S`` after the platform's return. A
    lease that could not be renewed expires although its holder is alive.
    ``is_leased`` is a function that says for a key whether it has a lease.
    """

    def __init__(self, *, is_leased):
        self._is_leased = is_leased
        self._items_by_key = {}
        self._as_of = 0
        self._last_read_s = None
        self._grace_end_s = None
        self._expiring_keys = set()

    @property
    def as_of(self):
        """Return the revision of the view; 0 before the first reading."""
        return self._as_of

    @property
    def items_by_key(self):
        """Return the items in force, by key."""
        return self._items_by_key

    def age_s(self, *, now_s):
        """Return the seconds since the last reading; None before any."""
        if self._last_read_s is None:
            return None
        return now_s - self._last_read_s

    def take_snapshot(self):
        """Return a snapshot of the whole view, to be sent to a peer."""
        return models.Snapshot(
            as_of=self._as_of, items=tuple(self._items_by_key.values())
        )

    def apply(self, reading, *, now_s, after_outage=False):
        """Apply a reading; return whether any item has changed.

        A reading that is older than the view has no effect.
        ``after_outage`` marks the first reading after failed ones. Raise
        ``TypeError`` for an object that is not a reading.
        """
        if reading.as_of < self._as_of:
            return False
        if after_outage:
            self._grace_end_s = now_s + conf.LEASE_GRACE_S
        self._last_read_s = now_s
        changed = self._apply(reading, now_s)
        self._as_of = reading.as_of
        return self.expire(now_s=now_s) or changed

    def expire(self, *, now_s):
        """Remove items whose grace period ended; return whether any was."""
        if not self._expiring_keys or now_s < self._grace_end_s:
            return False
        for key in self._expiring_keys:
            self._items_by_key.pop(key, None)
        self._expiring_keys.clear()
        return True

    @functools.singledispatchmethod
    def _apply(self, reading, now_s):
        raise TypeError(f'unknown reading {type(reading).__name__}')

    @_apply.register
    def _(self, reading: models.Snapshot, now_s):
        present_keys = {item.key for item in reading.items}
        missing_keys = [
            key for key in self._items_by_key if key not in present_keys
        ]
        removed = self._remove(missing_keys, now_s)
        return self._store_newer(reading.items) or removed

    @_apply.register
    def _(self, reading: models.Changes, now_s):
        removed = self._remove(reading.removed_keys, now_s)
        return self._store_newer(reading.items) or removed

    def _store_newer(self, items):
        changed = False
        for item in items:
            current = self._items_by_key.get(item.key)
            self._expiring_keys.discard(item.key)
            if current is None or current.revision < item.revision:
                self._items_by_key[item.key] = item
                changed = True
        return changed

    def _remove(self, keys, now_s):
        in_grace = self._grace_end_s is not None and (
            now_s < self._grace_end_s
        )
        changed = False
        for key in keys:
            if key not in self._items_by_key:
                continue
            if in_grace and self._is_leased(key):
                self._expiring_keys.add(key)
                continue
            del self._items_by_key[key]
            self._expiring_keys.discard(key)
            changed = True
        return changed

"""Apply readings of published values, but never an older revision."""

import functools

from savoryyoke.published import conf
from savoryyoke.published import holds
from savoryyoke.published import models


class PublishedView:
    """Own the newest items, by key.

    Leased items that disappear during an outage of the platform, or right
    after it, are kept for ``LEASE_GRACE_S`` after the platform's return. A
    lease that could not be renewed expires although its holder is alive.

    A platform that is restored from an older copy begins a new epoch. What it
    lacks stays as it was accepted until it is written again, or until the
    hold time of its kind has passed. ``order`` is an ``ItemOrder``.
    """

    def __init__(self, *, order):
        self._order = order
        self._items_by_key = {}
        self._as_of = models.NO_REVISION
        self._last_read_s = None
        self._grace_end_s = None
        self._expiring_keys = set()
        self._holds = holds.Holds()
        self._removals = holds.Removals()

    @property
    def as_of(self):
        """Return the revision; ``NO_REVISION`` before the first reading."""
        return self._as_of

    @property
    def items_by_key(self):
        """Return the items in force, by key."""
        return self._items_by_key

    @property
    def held_count(self):
        """Return the number of keys for which the platform is overruled."""
        return len(self._holds)

    def age_s(self, *, now_s):
        """Return the seconds since the last reading; None before any."""
        if self._last_read_s is None:
            return None
        return now_s - self._last_read_s

    def take_snapshot(self, *, now_s):
        """Return a snapshot of the whole view, to be sent to a peer."""
        return models.Snapshot(
            as_of=self._as_of,
            items=tuple(self._items_by_key.values()),
            holds=self._holds.report(now_s=now_s),
        )

    def apply(self, reading, *, now_s, after_outage=False):
        """Apply a reading; return whether any item has changed.

        A reading that is older than the view has no effect, except for the
        holds of a peer in the same epoch. ``after_outage`` marks the first
        reading after failed ones. Raise ``TypeError`` for an object that is
        not a reading.
        """
        if reading.as_of < self._as_of:
            return self._merge_holds(reading, now_s)
        if after_outage:
            self._grace_end_s = now_s + conf.LEASE_GRACE_S
        self._last_read_s = now_s
        changed = self._apply(reading, now_s)
        self._as_of = reading.as_of
        changed = self._merge_holds(reading, now_s) or changed
        return self.expire(now_s=now_s) or changed

    def expire(self, *, now_s):
        """Remove or replace items whose time is over; return if any was."""
        self._removals.forget_old(now_s=now_s)
        changed = False
        for key, overruled in self._holds.take_expired(now_s=now_s).items():
            if overruled is None:
                changed = self._delete(key, now_s) or changed
            else:
                self._items_by_key[key] = overruled
                changed = True
        if self._expiring_keys and now_s >= self._grace_end_s:
            for key in tuple(self._expiring_keys):
                changed = self._delete(key, now_s) or changed
        return changed

    @functools.singledispatchmethod
    def _apply(self, reading, now_s):
        raise TypeError(f'unknown reading {type(reading).__name__}')

    @_apply.register
    def _(self, reading: models.Snapshot, now_s):
        begins_epoch = reading.as_of.epoch > self._as_of.epoch
        if begins_epoch:
            self._holds.clear()
        present_keys = {item.key for item in reading.items}
        missing_keys = [
            key
            for key in self._items_by_key
            if key not in present_keys and key not in self._holds
        ]
        changed = False
        if begins_epoch:
            for key in missing_keys:
                self._hold(self._items_by_key[key], None, now_s)
        else:
            changed = self._remove(missing_keys, now_s)
        for item in reading.items:
            changed = self._merge(item, now_s, begins_epoch) or changed
        return changed

    @_apply.register
    def _(self, reading: models.Changes, now_s):
        changed = False
        for event in reading.events:
            changed = self._apply_event(event, now_s) or changed
        return changed

    @functools.singledispatchmethod
    def _apply_event(self, event, now_s):
        raise TypeError(f'unknown event {type(event).__name__}')

    @_apply_event.register
    def _(self, event: models.Removal, now_s):
        current = self._items_by_key.get(event.key)
        if current is not None and event.revision <= current.revision:
            return False
        self._holds.end(event.key)
        return self._remove([event.key], now_s)

    @_apply_event.register
    def _(self, item: models.Item, now_s):
        current = self._items_by_key.get(item.key)
        self._expiring_keys.discard(item.key)
        if current is not None:
            if item.revision <= current.revision:
                return False
            if (
                item.revision.epoch != current.revision.epoch
                and self._order.never_reverts(current)
                and self._order.is_older(item, current)
            ):
                self._hold(current, item, now_s)
                return False
        self._store(item)
        return True

    def _merge(self, item, now_s, begins_epoch):
        """Merge an item of a snapshot; return whether it takes effect."""
        current = self._items_by_key.get(item.key)
        self._expiring_keys.discard(item.key)
        if current is None:
            return self._merge_unknown(item, now_s, begins_epoch)
        if item.revision.epoch == current.revision.epoch:
            if item.revision <= current.revision:
                return False
        elif item.is_same_write(current) or self._holds.overrules(item):
            return False
        elif self._order.is_older(item, current):
            return self._merge_older(item, current, now_s, begins_epoch)
        elif item.revision < current.revision and not self._order.is_older(
            current, item
        ):
            return False
        self._store(item)
        return True

    def _merge_unknown(self, item, now_s, begins_epoch):
        """Merge an item that the view lacks, unless it was removed."""
        if self._holds.overrules(item):
            return False
        removed = self._removals.find(item.key) if begins_epoch else None
        if removed is not None and (
            item.is_same_write(removed) or self._order.is_older(item, removed)
        ):
            self._hold(removed, item, now_s)
            return False
        self._store(item)
        return True

    def _merge_older(self, item, current, now_s, begins_epoch):
        """Merge an older version that another epoch has.

        At the start of an epoch it is from the older copy. Later it was
        written, and only the owner of a lease may go back to an older one,
        as its clock may have been set back.
        """
        if item.revision < current.revision:
            return False
        if begins_epoch or self._order.never_reverts(current):
            self._hold(current, item, now_s)
            return False
        self._store(item)
        return True

    def _merge_holds(self, reading, now_s):
        """Adopt what a peer keeps against the restored platform."""
        if reading.as_of.epoch != self._as_of.epoch:
            return False
        if not isinstance(reading, models.Snapshot):
            return False
        items_by_key = {item.key: item for item in reading.items}
        changed = False
        for hold in reading.holds:
            kept = items_by_key.get(hold.key)
            is_known = kept == self._items_by_key.get(hold.key)
            if is_known and hold.key in self._holds:
                continue
            if not is_known and not self._is_better(kept, hold):
                continue
            self._adopt(kept, hold, now_s)
            changed = changed or not is_known
        return changed

    def _is_better(self, kept, hold):
        """Return whether a peer's held state replaces the own state.

        ``kept`` is the peer's item, or None if the peer holds a removal.
        """
        current = self._items_by_key.get(hold.key)
        if current is None:
            return (
                hold.key not in self._holds
                and not self._removals.happened_in(self._as_of.epoch, hold.key)
            )
        if hold.overruled is not None and current.is_same_write(
            hold.overruled
        ):
            return True
        return kept is not None and self._order.is_older(current, kept)

    def _adopt(self, kept, hold, now_s):
        """Take over the state of a key that a peer holds."""
        if kept is None:
            self._delete(hold.key, now_s)
        else:
            self._items_by_key[hold.key] = kept
        self._expiring_keys.discard(hold.key)
        self._holds.start(
            hold.key,
            overruled=hold.overruled,
            end_s=now_s + hold.remaining_s,
        )

    def _hold(self, accepted, overruled, now_s):
        """Keep the state of the item ``accepted`` for its hold time."""
        self._holds.start(
            accepted.key,
            overruled=overruled,
            end_s=now_s + self._order.hold_s(accepted),
        )

    def _store(self, item):
        self._items_by_key[item.key] = item
        self._holds.end(item.key)
        self._removals.discard(item.key)

    def _delete(self, key, now_s):
        self._expiring_keys.discard(key)
        item = self._items_by_key.pop(key, None)
        if item is None:
            return False
        self._removals.record(item, epoch=self._as_of.epoch, now_s=now_s)
        return True

    def _remove(self, keys, now_s):
        in_grace = self._grace_end_s is not None and (
            now_s < self._grace_end_s
        )
        changed = False
        for key in keys:
            if key not in self._items_by_key:
                continue
            if in_grace and self._order.is_leased(key):
                self._expiring_keys.add(key)
                continue
            changed = self._delete(key, now_s) or changed
        return changed

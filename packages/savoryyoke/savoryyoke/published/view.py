"""Apply readings of published values, but never an older revision."""

import functools
import math

from savoryyoke.published import conf
from savoryyoke.published import holds
from savoryyoke.published import models


class PublishedView:
    """Own the items in force, by key.

    They are what the platform publishes as of the newest reading, except for
    two kinds of keys, which are overridden for a time:

    Leased items that disappear during an outage of the platform, or right
    after it, lapse: they are kept for ``LEASE_GRACE_S`` after its return. A
    lease that could not be renewed expires although its holder is alive.

    A platform that is restored from an older copy begins a new epoch. What
    was accepted and is not in the copy is held until the key is written or
    removed again, or until the hold time of its kind has passed.

    ``order`` is an ``ItemOrder``.
    """

    def __init__(self, *, order):
        self._order = order
        self._published_by_key = {}
        self._items_by_key = {}
        self._as_of = models.NO_REVISION
        self._last_read_s = None
        self._is_platform_lost = False
        self._grace_end_s = -math.inf
        self._grace_as_of = models.NO_REVISION
        self._lapses = holds.Overrides()
        self._holds = holds.Overrides()
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
        # In an outage, overrides last until after its end.
        least_s = conf.LEASE_GRACE_S if self._is_platform_lost else 0.0
        held_s_by_key = self._holds.remaining_s_by_key(
            now_s=now_s, least_s=least_s
        )
        lapsing_s_by_key = self._lapses.remaining_s_by_key(
            now_s=now_s, least_s=least_s
        )
        return models.Snapshot(
            as_of=self._as_of,
            items=tuple(map(self._choose_item, self._items_by_key)),
            holds=tuple(
                models.Hold(
                    key=key,
                    remaining_s=remaining_s,
                    overruled=self._published_by_key.get(key),
                )
                for key, remaining_s in held_s_by_key.items()
            ),
            lapses=tuple(
                models.Lapse(key=key, remaining_s=remaining_s)
                for key, remaining_s in lapsing_s_by_key.items()
            ),
        )

    def begin_outage(self):
        """Expect leases to expire, as the platform can't be read."""
        self._is_platform_lost = True

    def apply(self, reading, *, now_s, after_outage=False):
        """Apply a reading; return whether any item has changed.

        A reading that is older than the view has no effect, except for the
        holds of a peer in the same epoch. ``after_outage`` marks the first
        reading of the platform after an outage, which ends with it even if a
        newer view was copied from a peer meanwhile. Raise ``TypeError`` for an
        object that is not a reading.
        """
        changed = False
        if after_outage:
            self._begin_grace(reading, now_s)
        is_older = reading.as_of < self._as_of
        if not is_older:
            self._last_read_s = now_s
            changed = self._apply(reading, now_s)
            self._as_of = reading.as_of
        changed = self._adopt_holds(reading, now_s) or changed
        return self.expire(now_s=now_s) or changed

    def expire(self, *, now_s):
        """End overrides whose time is over; return if any item changed."""
        self._removals.forget_old(now_s=now_s)
        if self._is_platform_lost:
            # Owners can't write their items again now.
            return False
        expired_keys = [
            *self._holds.take_expired(now_s=now_s),
            *self._lapses.take_expired(now_s=now_s),
        ]
        return self._refresh_all(expired_keys, now_s)

    def _begin_grace(self, reading, now_s):
        self._is_platform_lost = False
        self._grace_as_of = reading.as_of
        self._grace_end_s = now_s + conf.LEASE_GRACE_S
        self._lapses.extend(end_s=self._grace_end_s)
        self._holds.extend(end_s=self._grace_end_s)

    @functools.singledispatchmethod
    def _apply(self, reading, now_s):
        raise TypeError(f'unknown reading {type(reading).__name__}')

    @_apply.register
    def _(self, reading: models.Snapshot, now_s):
        published_by_key = _find_published(reading)
        if reading.as_of.epoch > self._as_of.epoch:
            changed = self._begin_epoch(published_by_key, now_s)
        else:
            changed = self._replace_published(published_by_key, reading, now_s)
        return self._adopt_lapses(reading, now_s) or changed

    @_apply.register
    def _(self, reading: models.Changes, now_s):
        changed = False
        for event in reading.events:
            if not self._is_known(event):
                changed = self._apply_event(event, now_s) or changed
        return changed

    def _is_known(self, event):
        """Return whether the view has applied an event, or a newer one.

        A view that was copied from a peer meanwhile knows more than the
        revision after which the changes were read.
        """
        published = self._published_by_key.get(event.key)
        return event.revision <= self._as_of or (
            published is not None and event.revision <= published.revision
        )

    @functools.singledispatchmethod
    def _apply_event(self, event, now_s):
        raise TypeError(f'unknown event {type(event).__name__}')

    @_apply_event.register
    def _(self, event: models.Item, now_s):
        return self._write(event, now_s)

    @_apply_event.register
    def _(self, event: models.Removal, now_s):
        return self._remove(event.key, now_s)

    def _begin_epoch(self, published_by_key, now_s):
        """Replace what is published by the restored platform's copy."""
        self._holds.clear()
        self._published_by_key = published_by_key
        for key, accepted in self._items_by_key.items():
            published = published_by_key.get(key)
            if published is not None:
                self._lapses.end(key)
                if self._order.is_older(published, accepted):
                    self._hold(accepted, now_s)
            elif key not in self._lapses:
                self._hold(accepted, now_s)
        for key, published in published_by_key.items():
            if key in self._items_by_key:
                continue
            removed = self._removals.find(key)
            if removed is not None and self._precedes_removal(
                published, removed
            ):
                self._hold_removal(removed, now_s)
        return self._refresh_all(
            {**self._items_by_key, **published_by_key}, now_s
        )

    def _replace_published(self, published_by_key, reading, now_s):
        """Apply the difference between two snapshots of one epoch.

        The pages of a snapshot are read one after the other, so the view may
        know of changes that are newer than its own revision.
        """
        lapse_end_s_by_key = {}
        if self._is_platform_lost:
            lapse_end_s_by_key = {
                lapse.key: now_s + lapse.remaining_s
                for lapse in reading.lapses
            }
        changed = False
        for key, current in tuple(self._published_by_key.items()):
            if key in published_by_key or current.revision > reading.as_of:
                continue
            lapse_end_s = lapse_end_s_by_key.get(key, -math.inf)
            changed = self._remove(key, now_s, lapse_end_s) or changed
        for key, item in published_by_key.items():
            current = self._published_by_key.get(key)
            if current is None or item.revision > current.revision:
                changed = self._write(item, now_s) or changed
        return changed

    def _write(self, item, now_s):
        """Apply the write of an item; return whether it takes effect."""
        self._published_by_key[item.key] = item
        self._lapses.end(item.key)
        accepted = self._items_by_key.get(item.key)
        if accepted is not None and self._reverts(item, accepted):
            self._hold(accepted, now_s)
        else:
            self._holds.end(item.key)
        return self._refresh(item.key, now_s)

    def _reverts(self, item, accepted):
        """Return whether a write must not replace an accepted item.

        The owner of a lease may write an older version after a restore, as
        its clock may have been set back.
        """
        return (
            item.revision.epoch != accepted.revision.epoch
            and self._order.never_reverts(accepted)
            and self._order.is_older(item, accepted)
        )

    def _remove(self, key, now_s, lapse_end_s=-math.inf):
        """Apply the removal of a key; return whether an item has changed.

        ``lapse_end_s`` is when the item lapses at a peer.
        """
        published = self._published_by_key.pop(key, None)
        self._holds.end(key)
        accepted = self._items_by_key.get(key)
        if published is not None and accepted is not None:
            if self._may_have_lapsed(published):
                lapse_end_s = max(lapse_end_s, self._grace_end_s)
            if now_s < lapse_end_s:
                self._lapses.start(key, item=accepted, end_s=lapse_end_s)
        return self._refresh(key, now_s)

    def _may_have_lapsed(self, published):
        """Return whether an item was removed because of the last outage.

        The owner of an item that was written after the outage can renew its
        lease.
        """
        return (
            self._order.is_leased(published.key)
            and published.revision <= self._grace_as_of
        )

    def _adopt_lapses(self, reading, now_s):
        """Take over lapsing items of a peer that this view doesn't know."""
        items_by_key = {item.key: item for item in reading.items}
        adopted_keys = []
        for lapse in reading.lapses:
            item = items_by_key.get(lapse.key)
            if item is None or self._choose_item(lapse.key) is not None:
                continue
            removed = self._removals.find(lapse.key)
            if removed is not None and self._precedes_removal(item, removed):
                continue
            end_s = now_s + lapse.remaining_s
            self._lapses.start(lapse.key, item=item, end_s=end_s)
            adopted_keys.append(lapse.key)
        return self._refresh_all(adopted_keys, now_s)

    def _adopt_holds(self, reading, now_s):
        """Take over what a peer holds against the restored platform."""
        if (
            not isinstance(reading, models.Snapshot)
            or reading.as_of.epoch != self._as_of.epoch
        ):
            return False
        items_by_key = {item.key: item for item in reading.items}
        adopted_keys = []
        for hold in reading.holds:
            item = items_by_key.get(hold.key)
            if self._is_better(item, hold):
                end_s = now_s + hold.remaining_s
                self._holds.start(hold.key, item=item, end_s=end_s)
                adopted_keys.append(hold.key)
        return self._refresh_all(adopted_keys, now_s)

    def _is_better(self, item, hold):
        """Return whether a peer's held state replaces the own state.

        ``item`` is the peer's item, or None if the peer holds a removal.
        """
        accepted = self._items_by_key.get(hold.key)
        is_newer_version = (
            item is not None
            and accepted is not None
            and self._order.is_older(accepted, item)
        )
        if self._published_by_key.get(hold.key) != hold.overruled:
            # The key was written or removed between the two views' readings.
            return is_newer_version and self._order.never_reverts(item)
        if hold.key in self._holds:
            return is_newer_version
        removed = self._removals.find(hold.key)
        if accepted is not None or removed is None:
            return True
        return not (
            self._removals.happened_in(self._as_of.epoch, hold.key)
            or item is None
            or self._precedes_removal(item, removed)
        )

    def _precedes_removal(self, item, removed):
        """Return whether an item is from before ``removed`` was removed."""
        return item.is_same_write(removed) or self._order.is_older(
            item, removed
        )

    def _hold(self, accepted, now_s):
        """Keep an accepted item for the hold time of its kind."""
        end_s = now_s + self._order.hold_s(accepted)
        self._holds.start(accepted.key, item=accepted, end_s=end_s)

    def _hold_removal(self, removed, now_s):
        """Keep the key of a removed item absent for its hold time."""
        end_s = now_s + self._order.hold_s(removed)
        self._holds.start(removed.key, item=None, end_s=end_s)

    def _choose_item(self, key):
        """Return the item that is to be in force for a key, or None."""
        hold = self._holds.find(key)
        if hold is not None:
            return hold.item
        published = self._published_by_key.get(key)
        if published is not None:
            return published
        lapse = self._lapses.find(key)
        return None if lapse is None else lapse.item

    def _refresh_all(self, keys, now_s):
        changed = False
        for key in keys:
            changed = self._refresh(key, now_s) or changed
        return changed

    def _refresh(self, key, now_s):
        """Put the chosen item of a key in force; return if it is another."""
        accepted = self._items_by_key.get(key)
        item = self._choose_item(key)
        if item is None:
            if accepted is None:
                return False
            del self._items_by_key[key]
            self._removals.record(
                accepted, epoch=self._as_of.epoch, now_s=now_s
            )
            return True
        self._removals.discard(key)
        if accepted is not None and item.is_same_write(accepted):
            return False
        self._items_by_key[key] = item
        return True


def _find_published(snapshot):
    """Return what the platform publishes, by key, as of a snapshot."""
    published_by_key = {item.key: item for item in snapshot.items}
    for lapse in snapshot.lapses:
        published_by_key.pop(lapse.key, None)
    for hold in snapshot.holds:
        published_by_key.pop(hold.key, None)
        if hold.overruled is not None:
            published_by_key[hold.key] = hold.overruled
    return published_by_key

"""Find the process that has the authority over a key."""

import collections
import dataclasses

from savoryyoke.calls import keys


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Name the process that answers for an incarnation.

    ``stamp_ms`` is its newest stamp and ``window_ms`` the length of its
    windows.
    """

    target_id: str
    stamp_ms: int
    window_ms: int


class Routes:
    """Hold the routes by incarnation that an entry has heard of.

    The stamps of an heir are newer than all those of the process that left,
    so the newest stamp names the authority, whatever the order of messages.
    """

    def __init__(self, *, limits):
        self._limit = limits.routes_limit
        self._routes_by_incarnation = collections.OrderedDict()

    def hear(self, stamp):
        """Take in a ``Stamp`` of a ledger."""
        held = self._routes_by_incarnation.get(stamp.incarnation)
        if held is not None and stamp.stamp_ms <= held.stamp_ms:
            return
        self._put(
            stamp.incarnation,
            Route(
                target_id=stamp.target_id,
                stamp_ms=stamp.stamp_ms,
                window_ms=stamp.window_ms,
            ),
        )

    def follow(self, *, incarnation, heir, stamp_ms):
        """Take in that ``heir`` answers after the last stamp ``stamp_ms``."""
        held = self._routes_by_incarnation.get(incarnation)
        if held is not None and stamp_ms < held.stamp_ms:
            return
        window_ms = 0 if held is None else held.window_ms
        self._put(
            incarnation,
            Route(
                target_id=heir.target_id,
                stamp_ms=stamp_ms,
                window_ms=window_ms,
            ),
        )

    def find_target(self, key):
        """Return the id of the target that answers for ``key``."""
        route = self._routes_by_incarnation.get(key.incarnation)
        return key.target_id if route is None else route.target_id

    def find_stamp_ms(self, key):
        """Return the newest stamp held for ``key``, 0 without one."""
        route = self._routes_by_incarnation.get(key.incarnation)
        return 0 if route is None else route.stamp_ms

    def make_binding(self, *, service, target_id, incarnation):
        """Return a binding to a live process, or None without a stamp.

        An incarnation that has left makes no new keys.
        """
        route = self._routes_by_incarnation.get(incarnation)
        if route is None or route.target_id != target_id:
            return None
        if route.window_ms == 0:
            return None
        return keys.Binding(
            service=service,
            target_id=target_id,
            incarnation=incarnation,
            window=route.stamp_ms // route.window_ms,
        )

    def _put(self, incarnation, route):
        self._routes_by_incarnation[incarnation] = route
        self._routes_by_incarnation.move_to_end(incarnation)
        while len(self._routes_by_incarnation) > self._limit:
            self._routes_by_incarnation.popitem(last=False)

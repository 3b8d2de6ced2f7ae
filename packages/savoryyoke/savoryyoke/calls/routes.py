"""Find the process that decides on a key."""

import collections
import dataclasses

from savoryyoke.calls import keys


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Identify the process that decides on the keys of an incarnation.

    ``stamp_ms`` is the newest stamp and ``window_ms`` the length of the
    windows, or 0 if only a handover to an heir has been reported.
    """

    target_id: str
    stamp_ms: int
    window_ms: int


class Routes:
    """Hold the newest route that an entry received for each incarnation.

    The stamps of an heir are newer than all stamps of the process that left,
    so the newest stamp identifies the authority in any order of messages.
    Beyond ``routes_limit`` routes, the least recently updated are dropped.
    """

    def __init__(self, *, limits):
        self._limit = limits.routes_limit
        self._routes_by_incarnation = collections.OrderedDict()

    def apply_stamp(self, stamp):
        """Update the route from a ``Stamp`` unless it is outdated."""
        current_route = self._routes_by_incarnation.get(stamp.incarnation)
        if (
            current_route is not None
            and stamp.stamp_ms <= current_route.stamp_ms
        ):
            return
        self._put(
            stamp.incarnation,
            Route(
                target_id=stamp.target_id,
                stamp_ms=stamp.stamp_ms,
                window_ms=stamp.window_ms,
            ),
        )

    def apply_handover(self, *, incarnation, heir, stamp_ms):
        """Route the keys of ``incarnation`` to its ``heir``.

        ``stamp_ms`` is the last stamp of the process that handed over; the
        call has no effect if a newer stamp is known.
        """
        current_route = self._routes_by_incarnation.get(incarnation)
        if current_route is not None and stamp_ms < current_route.stamp_ms:
            return
        window_ms = 0 if current_route is None else current_route.window_ms
        self._put(
            incarnation,
            Route(
                target_id=heir.target_id,
                stamp_ms=stamp_ms,
                window_ms=window_ms,
            ),
        )

    def find_target(self, key):
        """Return the id of the target that decides on ``key``."""
        route = self._routes_by_incarnation.get(key.incarnation)
        return key.target_id if route is None else route.target_id

    def find_stamp_ms(self, key):
        """Return the newest stamp of the key's incarnation in ms, or 0."""
        route = self._routes_by_incarnation.get(key.incarnation)
        return 0 if route is None else route.stamp_ms

    def make_binding(self, *, service, target_id, incarnation):
        """Return a binding to a running process, or None.

        The result is None if no stamp of the process has been received or
        if an heir decides on its keys: these get no new bindings.
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

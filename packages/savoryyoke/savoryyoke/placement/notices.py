"""Store the notices that targets send with their answers."""

import collections
import dataclasses

from savoryyoke.placement import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeavingTarget:
    """Name a leaving target whose notice arrived ``age_s`` seconds ago."""

    target_id: str
    incarnation: int
    age_s: float


class TargetNotices:
    """Own the notices of one service's targets, by incarnation.

    A notice is a target's statement that it leaves or requests a pause. It
    is kept even if the target disappears from the published list, because the
    list may be older than the notice, or the target may be published again.
    An incarnation that leaves never gets a request again. One that requests a
    pause gets no requests until the pause ends. Then its limit of concurrent
    requests grows by one every ``PAUSE_RAMP_STEP_S``, so that queued requests
    are not sent all at once.

    A hint is another entry's report of a leaving target. It expires after
    ``HINT_LIFETIME_S``; until then the target is used only as a last resort.
    """

    def __init__(self):
        self._announced_s_by_key = collections.OrderedDict()
        self._hint_announced_s_by_key = collections.OrderedDict()
        self._pause_ends_s_by_key = {}

    def record_leaving(self, target, *, now_s):
        """Record that a target leaves; return whether that is new."""
        if self.is_leaving(target):
            return False
        _put_newest(self._announced_s_by_key, build_key(target), now_s)
        return True

    def record_hints(self, hints, *, now_s):
        """Record the ``LeavingTarget`` hints of another entry."""
        for hint in hints:
            key = build_key(hint)
            announced_s = now_s - max(hint.age_s, 0.0)
            announced_s = max(
                announced_s,
                self._hint_announced_s_by_key.get(key, announced_s),
            )
            _put_newest(self._hint_announced_s_by_key, key, announced_s)

    def record_pause(self, target, *, pause_s, now_s):
        """Record a requested pause; return the time at which it ends.

        Of several pauses the latest end counts. A pause is limited to
        ``PAUSE_MAX_S``.
        """
        self._remove_old_pauses(now_s)
        key = build_key(target)
        end_s = now_s + min(max(pause_s, 0.0), conf.PAUSE_MAX_S)
        end_s = max(end_s, self._pause_ends_s_by_key.get(key, end_s))
        self._pause_ends_s_by_key[key] = end_s
        return end_s

    @property
    def has_pauses(self):
        """Return whether any pause, current or recently ended, is stored."""
        return bool(self._pause_ends_s_by_key)

    def is_leaving(self, target):
        """Return whether a target has announced that it leaves."""
        return build_key(target) in self._announced_s_by_key

    def has_leaving_hint(self, target, *, now_s):
        """Return whether an unexpired hint says that a target leaves."""
        announced_s = self._hint_announced_s_by_key.get(build_key(target))
        return (
            announced_s is not None
            and now_s - announced_s < conf.HINT_LIFETIME_S
        )

    def pause_end_s(self, target, *, now_s):
        """Return the end of a target's current pause, or None."""
        end_s = self._pause_ends_s_by_key.get(build_key(target))
        return end_s if end_s is not None and now_s < end_s else None

    def in_flight_limit(self, target, *, now_s):
        """Return the limit of requests in flight; None without a limit."""
        end_s = self._pause_ends_s_by_key.get(build_key(target))
        if end_s is None:
            return None
        if now_s < end_s:
            return 0
        return 1 + int((now_s - end_s) / conf.PAUSE_RAMP_STEP_S)

    def hints(self, *, now_s):
        """Return the newest own notices as hints for other entries."""
        newest = []
        for key, announced_s in reversed(self._announced_s_by_key.items()):
            if now_s - announced_s >= conf.HINT_LIFETIME_S:
                break
            target_id, incarnation = key
            newest.append(
                LeavingTarget(
                    target_id=target_id,
                    incarnation=incarnation,
                    age_s=now_s - announced_s,
                )
            )
        return tuple(newest[: conf.HINTS_LIMIT])

    def _remove_old_pauses(self, now_s):
        oldest_s = now_s - conf.PAUSE_RAMP_STEP_S * conf.PAUSE_RAMP_STEPS
        self._pause_ends_s_by_key = {
            key: end_s
            for key, end_s in self._pause_ends_s_by_key.items()
            if end_s > oldest_s
        }


def build_key(target):
    """Return the key of the incarnation of a target, or of a report on it."""
    return (target.target_id, target.incarnation)


def _put_newest(values_by_key, key, value):
    """Store a value; drop the oldest ones beyond ``NOTICES_LIMIT``."""
    values_by_key[key] = value
    values_by_key.move_to_end(key)
    while len(values_by_key) > conf.NOTICES_LIMIT:
        values_by_key.popitem(last=False)

"""Remember what targets have said of themselves in their answers."""

import collections
import dataclasses

from savoryyoke.placement import conf


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeavingTarget:
    """Name an incarnation of a target that leaves, seen ``age_s`` ago."""

    target_id: str
    incarnation: int
    age_s: float


class TargetNotices:
    """Own the notices of one service's targets, by incarnation.

    A notice outlives the target's entry in the published list: the list may
    be older than the notice, or lapse and come back. An incarnation that
    leaves never gets a request again. One that asks for a pause gets none
    until its end, and then one more at a time for each ``PAUSE_RAMP_S``, so
    that what waits is not sent all at once.

    What other entries have heard of leaving targets is a hint, which lapses:
    such a target comes last.
    """

    def __init__(self):
        self._leaving_s_by_key = collections.OrderedDict()
        self._hinted_s_by_key = collections.OrderedDict()
        self._pause_ends_s_by_key = {}

    def note_leaving(self, target, *, now_s):
        """Take in that a target leaves; return whether that is new."""
        if self.is_leaving(target):
            return False
        _put_bounded(self._leaving_s_by_key, _identify(target), now_s)
        return True

    def note_hints(self, hints, *, now_s):
        """Take in the ``LeavingTarget`` notices of another entry."""
        for hint in hints:
            key = (hint.target_id, hint.incarnation)
            heard_s = now_s - max(hint.age_s, 0.0)
            heard_s = max(heard_s, self._hinted_s_by_key.get(key, heard_s))
            _put_bounded(self._hinted_s_by_key, key, heard_s)

    def note_pause(self, target, *, pause_s, now_s):
        """Take in the pause that a target wants; return its end.

        The longest one counts, up to ``PAUSE_LONGEST_S``.
        """
        self._forget_pauses(now_s)
        key = _identify(target)
        end_s = now_s + min(max(pause_s, 0.0), conf.PAUSE_LONGEST_S)
        end_s = max(end_s, self._pause_ends_s_by_key.get(key, end_s))
        self._pause_ends_s_by_key[key] = end_s
        return end_s

    @property
    def has_pauses(self):
        """Return whether any target has asked for a pause lately."""
        return bool(self._pause_ends_s_by_key)

    def is_leaving(self, target):
        """Return whether a target has said that it leaves."""
        return _identify(target) in self._leaving_s_by_key

    def is_hinted(self, target, *, now_s):
        """Return whether another entry has heard that a target leaves."""
        heard_s = self._hinted_s_by_key.get(_identify(target))
        return heard_s is not None and now_s - heard_s < conf.HINT_MEMORY_S

    def pause_end_s(self, target, *, now_s):
        """Return when a target's pause ends, or None if there is none."""
        end_s = self._pause_ends_s_by_key.get(_identify(target))
        return end_s if end_s is not None and now_s < end_s else None

    def most_in_flight(self, target, *, now_s):
        """Return what a target may get after a pause; None: no bound."""
        end_s = self._pause_ends_s_by_key.get(_identify(target))
        if end_s is None:
            return None
        if now_s < end_s:
            return 0
        return 1 + int((now_s - end_s) / conf.PAUSE_RAMP_S)

    def hints(self, *, now_s):
        """Return the newest ``LeavingTarget`` notices for other entries."""
        newest = []
        for key, seen_s in reversed(self._leaving_s_by_key.items()):
            if now_s - seen_s >= conf.HINT_MEMORY_S:
                break
            target_id, incarnation = key
            newest.append(
                LeavingTarget(
                    target_id=target_id,
                    incarnation=incarnation,
                    age_s=now_s - seen_s,
                )
            )
        return tuple(newest[: conf.HINTS_LIMIT])

    def _forget_pauses(self, now_s):
        oldest_s = now_s - conf.PAUSE_RAMP_S * conf.PAUSE_RAMP_STEPS
        self._pause_ends_s_by_key = {
            key: end_s
            for key, end_s in self._pause_ends_s_by_key.items()
            if end_s > oldest_s
        }


def _identify(target):
    return (target.target_id, target.incarnation)


def _put_bounded(values_by_key, key, value):
    """Keep the newest notices, as many as ``NOTICES_LIMIT``."""
    values_by_key[key] = value
    values_by_key.move_to_end(key)
    while len(values_by_key) > conf.NOTICES_LIMIT:
        values_by_key.popitem(last=False)

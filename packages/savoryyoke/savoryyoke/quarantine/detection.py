"""Notice crashes of targets that an entry calls directly."""

import collections
import dataclasses
import functools

from savoryyoke.quarantine import conf
from savoryyoke.quarantine import events
from savoryyoke.quarantine import evidence
from savoryyoke.quarantine import exceptions


@dataclasses.dataclass(frozen=True, kw_only=True)
class _LostTry:
    fingerprint: bytes
    is_broken: bool
    lost_s: float


class CrashDetector:
    """Own an entry's unanswered tries and tell which of them met a crash.

    A broken connection alone proves no crash: links break too, and targets
    that fail may close connections. A target has crashed if it was listed
    as in use and then refuses connections, or if it leaves the list without
    having announced that it drains. A crash is known by the target's
    incarnation, so that all entries give it the same id.
    """

    def __init__(self, *, evidence_s):
        self._evidence_s = evidence_s
        self._listed_by_id = {}
        self._lost_by_incarnation = collections.defaultdict(
            lambda: collections.deque(maxlen=conf.LOST_TRIES_LIMIT)
        )

    def apply(self, event, *, now_s):
        """Take in an event and return the ``CrashReport`` that follow.

        Raises UnknownEvent for other types.
        """
        return self._apply(event, now_s)

    @functools.singledispatchmethod
    def _apply(self, event, now_s):
        raise exceptions.UnknownEvent(type(event).__name__)

    @_apply.register
    def _(self, event: events.TryLost, now_s):
        self._forget_old(now_s)
        self._lost_by_incarnation[_identify(event.target)].append(
            _LostTry(
                fingerprint=event.fingerprint,
                is_broken=event.is_broken,
                lost_s=now_s,
            )
        )
        return ()

    @_apply.register
    def _(self, event: events.ConnectionRefused, now_s):
        self._forget_old(now_s)
        listed = self._listed_by_id.get(event.target.target_id)
        is_listed = (
            listed is not None
            and listed.incarnation == event.target.incarnation
        )
        if not is_listed or listed.is_draining:
            return ()
        lost = self._lost_by_incarnation.pop(_identify(listed), ())
        return self._report(listed, lost)

    @_apply.register
    def _(self, event: events.TargetsListed, now_s):
        self._forget_old(now_s)
        listed_by_id = {x.target_id: x for x in event.targets}
        made = []
        for target_id, before in self._listed_by_id.items():
            after = listed_by_id.get(target_id)
            if after is not None and after.incarnation == before.incarnation:
                continue
            lost = self._lost_by_incarnation.pop(_identify(before), ())
            if not before.is_draining:
                broken = [x for x in lost if x.is_broken]
                made.extend(self._report(before, broken))
        self._listed_by_id = listed_by_id
        return tuple(made)

    def _report(self, target, lost):
        if not lost:
            return ()
        report = evidence.CrashReport(
            crash_id=f'{target.target_id}/{target.incarnation}',
            fingerprints=frozenset(x.fingerprint for x in lost),
            remaining_s=self._evidence_s,
            release=target.release,
        )
        return (report,)

    def _forget_old(self, now_s):
        oldest_s = now_s - conf.LOST_TRY_MEMORY_S
        for incarnation, lost in list(self._lost_by_incarnation.items()):
            while lost and lost[0].lost_s < oldest_s:
                lost.popleft()
            if not lost:
                del self._lost_by_incarnation[incarnation]


def _identify(target):
    return (target.target_id, target.incarnation)

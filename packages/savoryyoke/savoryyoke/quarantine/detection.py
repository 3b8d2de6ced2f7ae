"""Detect crashes of targets that an entry calls directly."""

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
    prompt_parts: frozenset[bytes]
    is_broken: bool
    lost_s: float


class CrashDetector:
    """Find out which unanswered tries of an entry were part of a crash.

    A broken connection is not sufficient: networks fail too, and a faulty
    target may close connections. A target has crashed if it refuses
    connections while it is listed and not draining, or if it disappears from
    the list without draining first. The id of a crash is derived from the
    target's incarnation, so that all entries use the same id.
    """

    def __init__(self, *, report_lifetime_s):
        self._report_lifetime_s = report_lifetime_s
        self._listed_targets_by_id = {}
        self._lost_tries_by_incarnation = collections.defaultdict(
            lambda: collections.deque(maxlen=conf.MAX_LOST_TRIES_PER_TARGET)
        )

    def apply(self, event, *, now_s):
        """Apply an event and return a tuple of resulting ``CrashReport``.

        Raises UnknownEvent for an unsupported event type.
        """
        return self._apply(event, now_s)

    @functools.singledispatchmethod
    def _apply(self, event, now_s):
        raise exceptions.UnknownEvent(type(event).__name__)

    @_apply.register
    def _(self, event: events.TryLost, now_s):
        self._drop_old_tries(now_s)
        self._lost_tries_by_incarnation[
            _build_incarnation_key(event.target)
        ].append(
            _LostTry(
                fingerprint=event.fingerprint,
                prompt_parts=event.prompt_parts,
                is_broken=event.is_broken,
                lost_s=now_s,
            )
        )
        return ()

    @_apply.register
    def _(self, event: events.ConnectionRefused, now_s):
        self._drop_old_tries(now_s)
        listed_target = self._listed_targets_by_id.get(event.target.target_id)
        is_listed = (
            listed_target is not None
            and listed_target.incarnation == event.target.incarnation
        )
        if not is_listed or listed_target.is_draining:
            return ()
        lost_tries = self._lost_tries_by_incarnation.pop(
            _build_incarnation_key(listed_target), ()
        )
        return self._build_reports(listed_target, lost_tries)

    @_apply.register
    def _(self, event: events.TargetsListed, now_s):
        self._drop_old_tries(now_s)
        targets_by_id = {target.target_id: target for target in event.targets}
        reports = []
        for target_id, old_target in self._listed_targets_by_id.items():
            new_target = targets_by_id.get(target_id)
            if (
                new_target is not None
                and new_target.incarnation == old_target.incarnation
            ):
                continue
            lost_tries = self._lost_tries_by_incarnation.pop(
                _build_incarnation_key(old_target), ()
            )
            if not old_target.is_draining:
                broken_tries = [
                    lost_try for lost_try in lost_tries if lost_try.is_broken
                ]
                reports.extend(self._build_reports(old_target, broken_tries))
        self._listed_targets_by_id = targets_by_id
        return tuple(reports)

    def _build_reports(self, target, lost_tries):
        if not lost_tries:
            return ()
        report = evidence.CrashReport(
            crash_id=f'{target.target_id}/{target.incarnation}',
            fingerprints=frozenset(
                lost_try.fingerprint for lost_try in lost_tries
            ),
            prompt_parts=frozenset().union(
                *(lost_try.prompt_parts for lost_try in lost_tries)
            ),
            remaining_s=self._report_lifetime_s,
            release=target.release,
        )
        return (report,)

    def _drop_old_tries(self, now_s):
        cutoff_s = now_s - conf.LOST_TRY_RETENTION_S
        for incarnation, lost_tries in list(
            self._lost_tries_by_incarnation.items()
        ):
            while lost_tries and lost_tries[0].lost_s < cutoff_s:
                lost_tries.popleft()
            if not lost_tries:
                del self._lost_tries_by_incarnation[incarnation]


def _build_incarnation_key(target):
    return (target.target_id, target.incarnation)

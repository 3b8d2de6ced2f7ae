"""Decide which requests run, run in isolation or are refused for good."""

import collections
import dataclasses
import functools

from savoryyoke.quarantine import conf
from savoryyoke.quarantine import decisions
from savoryyoke.quarantine import events
from savoryyoke.quarantine import evidence
from savoryyoke.quarantine import exceptions

_Status = evidence.Status


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Retrial:
    call_id: str
    began_s: float


class Quarantine:
    """Track requests that crash back ends, at an entry or a target.

    All roles hold the same mergeable evidence. An entry asks with
    CallOffered, a target with RunRequested right before a start. A target
    runs one suspect at a time, beside calls that are clear.

    An entry that calls back ends without a process of ours beside them asks
    with SendOffered. It withholds a quarantined request from the releases
    that it crashed, so that it may run on another one.
    """

    def __init__(self, *, policy=None):
        self._policy = policy or conf.QuarantinePolicy()
        self._evidence = evidence.Evidence(policy=self._policy)
        self._fingerprints_by_call_id = {}
        self._succeeded_s_by_key = collections.OrderedDict()
        self._retrials_by_fingerprint = {}

    @property
    def evidence(self):
        """Return the evidence, to be read only."""
        return self._evidence

    def status(self, fingerprint):
        """Return the present status of a request."""
        return self._evidence.status(fingerprint)

    def apply(self, event, *, now_s):
        """Take in an event and return the decisions that follow from it.

        Raises UnknownEvent for other types.
        """
        self._evidence.forget_expired(now_s=now_s)
        return self._apply(event, now_s)

    @functools.singledispatchmethod
    def _apply(self, event, now_s):
        raise exceptions.UnknownEvent(type(event).__name__)

    @_apply.register
    def _(self, event: events.CallOffered, now_s):
        status = self.status(event.fingerprint)
        if status is _Status.QUARANTINED:
            return (self._refuse(event, now_s),)
        if status is _Status.SUSPECT:
            reports = self._evidence.reports_about(
                event.fingerprint, now_s=now_s
            )
            return (decisions.Isolate(call_id=event.call_id, reports=reports),)
        return (decisions.Route(call_id=event.call_id),)

    @_apply.register
    def _(self, event: events.SendOffered, now_s):
        if self.status(event.fingerprint) is not _Status.QUARANTINED:
            return (decisions.Route(call_id=event.call_id),)
        record = self._evidence.record(event.fingerprint)
        left_s = record.newest_s + self._retrial_after_s(record) - now_s
        if left_s <= 0 and self._begin_retrial(event, now_s):
            return (decisions.Route(call_id=event.call_id),)
        return (
            decisions.Withhold(
                fingerprint=event.fingerprint,
                releases=record.releases,
                crashes=record.crashes,
                retry_after_s=max(left_s, self._policy.retrial_timeout_s),
                includes_others=self._withholds_others(record, now_s),
            ),
        )

    @_apply.register
    def _(self, event: events.PeersHeard, now_s):
        self._evidence.set_threshold(
            self._policy.crashes_to_quarantine
            if event.count
            else self._policy.crashes_when_alone
        )
        return ()

    @_apply.register
    def _(self, event: events.RunRequested, now_s):
        stopped = self._merge(event.reports, now_s)
        status = self.status(event.fingerprint)
        if status is _Status.QUARANTINED:
            return (*stopped, self._refuse(event, now_s))
        suspect = status is _Status.SUSPECT
        isolated = self._running_suspects() if suspect else frozenset()
        if isolated:
            refusal = decisions.RefuseWhileIsolating(
                call_id=event.call_id,
                same_request=event.fingerprint in isolated,
            )
            return (*stopped, refusal)
        self._fingerprints_by_call_id[event.call_id] = event.fingerprint
        run = decisions.Run(call_id=event.call_id, suspect=suspect)
        return (*stopped, run)

    @_apply.register
    def _(self, event: events.RunEnded, now_s):
        fingerprint = self._fingerprints_by_call_id.pop(event.call_id, None)
        if fingerprint is not None and event.succeeded:
            self._note_success(fingerprint, '', now_s)
        return ()

    @_apply.register
    def _(self, event: events.CallSucceeded, now_s):
        self._note_success(event.fingerprint, event.release, now_s)
        return ()

    @_apply.register
    def _(self, event: events.BackendCrashed, now_s):
        fingerprints = frozenset(self._fingerprints_by_call_id.values())
        self._fingerprints_by_call_id.clear()
        if not fingerprints:
            return ()
        report = evidence.CrashReport(
            crash_id=event.crash_id,
            fingerprints=fingerprints,
            remaining_s=self._policy.evidence_s,
        )
        self._merge((report,), now_s)
        known = {
            known.crash_id: known
            for fingerprint in fingerprints
            for known in self._evidence.reports_about(fingerprint, now_s=now_s)
        }
        reports = tuple(known[crash_id] for crash_id in sorted(known))
        return (decisions.ShareReports(reports=reports, urgent=True),)

    @_apply.register
    def _(self, event: events.ReportsReceived, now_s):
        return self._merge(event.reports, now_s)

    @_apply.register
    def _(self, event: events.HeartbeatDue, now_s):
        reports = self._evidence.next_reports(
            count=event.report_limit,
            now_s=now_s,
            digests_per_report=event.digests_per_report,
        )
        if not reports:
            return ()
        return (decisions.ShareReports(reports=reports, urgent=False),)

    def _merge(self, reports, now_s):
        changed = [
            report
            for report in reports
            if self._evidence.merge(report, now_s=now_s)
        ]
        if not changed:
            return ()
        self._forget_successes(now_s)
        for report in changed:
            for fingerprint in report.fingerprints:
                if (fingerprint, report.release) in self._succeeded_s_by_key:
                    self._evidence.clear(fingerprint, release=report.release)
        return tuple(
            decisions.StopRun(call_id=call_id)
            for call_id, fingerprint in self._fingerprints_by_call_id.items()
            if self.status(fingerprint) is _Status.QUARANTINED
        )

    def _refuse(self, event, now_s):
        reports = self._evidence.reports_about(event.fingerprint, now_s=now_s)
        return decisions.RefuseForGood(
            call_id=event.call_id,
            fingerprint=event.fingerprint,
            crashes=len(reports),
        )

    def _running_suspects(self):
        return frozenset(
            fingerprint
            for fingerprint in self._fingerprints_by_call_id.values()
            if self.status(fingerprint) is _Status.SUSPECT
        )

    def _retrial_after_s(self, record):
        doublings = record.crashes - self._policy.crashes_to_quarantine
        return min(
            self._policy.retrial_s * 2.0 ** max(doublings, 0),
            self._policy.retrial_longest_s,
        )

    def _withholds_others(self, record, now_s):
        """Return whether releases without a crash are withheld as well."""
        crashed_more = len(record.releases) - 1
        if not crashed_more:
            return False
        wait_s = self._policy.release_trial_s * 2.0 ** (crashed_more - 1)
        return now_s - record.newest_s < wait_s

    def _begin_retrial(self, event, now_s):
        """Return whether this call may try a quarantined request again."""
        oldest_s = now_s - self._policy.retrial_timeout_s
        self._retrials_by_fingerprint = {
            fingerprint: retrial
            for fingerprint, retrial in self._retrials_by_fingerprint.items()
            if retrial.began_s > oldest_s
        }
        retrial = self._retrials_by_fingerprint.setdefault(
            event.fingerprint, _Retrial(call_id=event.call_id, began_s=now_s)
        )
        return retrial.call_id == event.call_id

    def _note_success(self, fingerprint, release, now_s):
        self._evidence.clear(fingerprint, release=release)
        key = (fingerprint, release)
        self._succeeded_s_by_key[key] = now_s
        self._succeeded_s_by_key.move_to_end(key)
        self._forget_successes(now_s)

    def _forget_successes(self, now_s):
        successes = self._succeeded_s_by_key
        oldest_s = now_s - self._policy.success_memory_s
        while successes:
            key, succeeded_s = next(iter(successes.items()))
            if len(successes) <= self._policy.success_limit:
                if succeeded_s > oldest_s:
                    break
            del successes[key]

"""Decide which requests run, run in isolation or are refused."""

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
    started_s: float


class Quarantine:
    """Track requests that crash back ends, at an entry or a target.

    Entries and targets exchange and merge the same evidence. An entry applies
    CallOffered before it routes a call, and a target applies RunRequested
    before it starts one. A target runs at most one suspect at a time, in
    parallel with calls that are not suspected.

    An entry that calls back ends directly, without a target process next to
    them, applies SendOffered. A quarantined request is then withheld only
    from the releases that it has crashed, so another release may run it.
    """

    def __init__(self, *, policy=None):
        self._policy = policy or conf.QuarantinePolicy()
        self._evidence = evidence.Evidence(policy=self._policy)
        self._fingerprints_by_call_id = {}
        self._succeeded_s_by_key = collections.OrderedDict()
        self._retrials_by_pattern = {}

    @property
    def evidence(self):
        """Return the evidence, which callers must not change."""
        return self._evidence

    def status(self, fingerprint):
        """Return the present Status of a request."""
        return self._evidence.status(fingerprint)

    def apply(self, event, *, now_s):
        """Apply an event and return the resulting decisions.

        Raises UnknownEvent for an unsupported event type.
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
            return (self._build_refusal(event, now_s),)
        if status is _Status.SUSPECT:
            reports = self._evidence.reports_about(
                event.fingerprint, now_s=now_s
            )
            return (decisions.Isolate(call_id=event.call_id, reports=reports),)
        return (decisions.Route(call_id=event.call_id),)

    @_apply.register
    def _(self, event: events.SendOffered, now_s):
        pattern = self._evidence.find_pattern(
            event.fingerprint, prompt_parts=event.prompt_parts
        )
        if pattern is None:
            return (decisions.Route(call_id=event.call_id),)
        summary = self._evidence.summarize_crashes(pattern)
        remaining_s = (
            summary.last_crash_s + self._retrial_after_s(summary) - now_s
        )
        if remaining_s <= 0 and self._begin_retrial(
            pattern, event.call_id, now_s
        ):
            return (decisions.Route(call_id=event.call_id),)
        return (
            decisions.Withhold(
                pattern=pattern,
                releases=summary.releases,
                crashes=summary.crashes,
                retry_after_s=max(remaining_s, self._policy.retrial_timeout_s),
                includes_other_releases=self._withholds_other_releases(
                    summary, now_s
                ),
                incomplete_s=self._evidence.count_incomplete_s(
                    pattern, now_s=now_s
                ),
            ),
        )

    @_apply.register
    def _(self, event: events.PeersCounted, now_s):
        self._evidence.set_threshold(
            self._policy.crashes_to_quarantine
            if event.count
            else self._policy.crashes_to_quarantine_without_peers
        )
        return ()

    @_apply.register
    def _(self, event: events.RunRequested, now_s):
        stop_decisions = self._merge(event.reports, now_s)
        status = self.status(event.fingerprint)
        if status is _Status.QUARANTINED:
            return (*stop_decisions, self._build_refusal(event, now_s))
        suspect = status is _Status.SUSPECT
        running_suspects = self._running_suspects() if suspect else frozenset()
        if running_suspects:
            refusal = decisions.RefuseWhileIsolating(
                call_id=event.call_id,
                same_request=event.fingerprint in running_suspects,
            )
            return (*stop_decisions, refusal)
        self._fingerprints_by_call_id[event.call_id] = event.fingerprint
        run = decisions.Run(call_id=event.call_id, suspect=suspect)
        return (*stop_decisions, run)

    @_apply.register
    def _(self, event: events.RunEnded, now_s):
        fingerprint = self._fingerprints_by_call_id.pop(event.call_id, None)
        if fingerprint is not None and event.succeeded:
            self._record_success({fingerprint}, '', now_s)
        return ()

    @_apply.register
    def _(self, event: events.CallSucceeded, now_s):
        self._record_success(
            {event.fingerprint} | event.prompt_parts, event.release, now_s
        )
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
            remaining_s=self._policy.evidence_lifetime_s,
        )
        self._merge((report,), now_s)
        reports_by_id = {
            related.crash_id: related
            for fingerprint in fingerprints
            for related in self._evidence.reports_about(
                fingerprint, now_s=now_s
            )
        }
        reports = tuple(
            reports_by_id[crash_id] for crash_id in sorted(reports_by_id)
        )
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
        new_reports = [
            report
            for report in reports
            if self._evidence.merge(report, now_s=now_s)
        ]
        if not new_reports:
            return ()
        self._drop_old_successes(now_s)
        for report in new_reports:
            for digest in report.fingerprints | report.prompt_parts:
                if (digest, report.release) in self._succeeded_s_by_key:
                    self._evidence.clear(digest, release=report.release)
        return tuple(
            decisions.StopRun(call_id=call_id)
            for call_id, fingerprint in self._fingerprints_by_call_id.items()
            if self.status(fingerprint) is _Status.QUARANTINED
        )

    def _build_refusal(self, event, now_s):
        reports = self._evidence.reports_about(event.fingerprint, now_s=now_s)
        return decisions.RefusePermanently(
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

    def _retrial_after_s(self, summary):
        doublings = summary.crashes - self._policy.crashes_to_quarantine
        return min(
            self._policy.retrial_s * 2.0 ** max(doublings, 0),
            self._policy.max_retrial_s,
        )

    def _withholds_other_releases(self, summary, now_s):
        """Return whether releases that did not crash are withheld as well."""
        further_releases = len(summary.releases) - 1
        if not further_releases:
            return False
        wait_s = self._policy.release_trial_s * 2.0 ** (further_releases - 1)
        return now_s - summary.last_crash_s < wait_s

    def _begin_retrial(self, pattern, call_id, now_s):
        """Return whether this call may retry a quarantined pattern."""
        cutoff_s = now_s - self._policy.retrial_timeout_s
        self._retrials_by_pattern = {
            other_pattern: retrial
            for other_pattern, retrial in self._retrials_by_pattern.items()
            if retrial.started_s > cutoff_s
        }
        retrial = self._retrials_by_pattern.setdefault(
            pattern, _Retrial(call_id=call_id, started_s=now_s)
        )
        return retrial.call_id == call_id

    def _record_success(self, digests, release, now_s):
        for digest in digests:
            self._evidence.clear(digest, release=release)
            key = (digest, release)
            self._succeeded_s_by_key[key] = now_s
            self._succeeded_s_by_key.move_to_end(key)
        self._drop_old_successes(now_s)

    def _drop_old_successes(self, now_s):
        successes = self._succeeded_s_by_key
        cutoff_s = now_s - self._policy.success_retention_s
        while successes:
            key, succeeded_s = next(iter(successes.items()))
            if len(successes) <= self._policy.success_limit:
                if succeeded_s > cutoff_s:
                    break
            del successes[key]

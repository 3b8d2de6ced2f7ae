"""Keep requests that crash targets from being sent again."""

from savoryyoke.quarantine import aggregates
from savoryyoke.quarantine import conf as quarantine_conf
from savoryyoke.quarantine import decisions
from savoryyoke.quarantine import events

from savoryyoke_edge import logs
from savoryyoke_gateway import conf

_POLICY = quarantine_conf.ENTRY_POLICY


class Suspects:
    """Own what this entry knows of requests that crash targets.

    Entries tell each other in heartbeats. Reports travel only while some
    entry's digest differs from this one's, and again until it agrees, so
    that lost datagrams and new entries need no case of their own.
    """

    def __init__(self, *, metrics, clock):
        self._metrics = metrics
        self._clock = clock
        self._quarantine = aggregates.Quarantine(policy=_POLICY)
        self._quarantined = frozenset()

    def find_withheld(self, call):
        """Return the ``Withhold`` of a request, or None."""
        (decision,) = self._apply(
            events.SendOffered(
                call_id=call.placement_id, fingerprint=call.content
            )
        )
        if not isinstance(decision, decisions.Withhold):
            return None
        return decision

    def note_answered(self, call, target):
        """Report that a target has answered a request in full."""
        self._apply(
            events.CallSucceeded(
                fingerprint=call.content, release=target.release
            )
        )
        if call.content in self._quarantined:
            self._note_changes(source='answer')

    def note_peers(self, heartbeats):
        """Take over how many entries are heard."""
        self._apply(events.PeersCounted(count=len(heartbeats)))
        self._note_changes(source='time')

    def take_in(self, reports, *, source):
        """Take in reports of crashes; ``source`` names who made them."""
        if reports:
            self._apply(events.ReportsReceived(reports=tuple(reports)))
            self._note_changes(source=source)

    def digest(self):
        """Return the digest of what this entry knows."""
        return self._quarantine.evidence.digest(now_s=self._clock())

    def quarantined_count(self):
        """Return how many requests are quarantined."""
        return len(self._quarantined)

    def reports_due(self, heartbeats):
        """Return the reports that the entries of ``heartbeats`` may lack."""
        digest = self.digest()
        if all(x.evidence_digest == digest for x in heartbeats):
            return ()
        shared = self._apply(
            events.HeartbeatDue(
                report_limit=conf.CRASH_REPORTS_PER_HEARTBEAT,
                digests_per_report=conf.CRASH_DIGESTS_PER_REPORT,
            )
        )
        return tuple(
            report for decision in shared for report in decision.reports
        )

    def _apply(self, event):
        return self._quarantine.apply(event, now_s=self._clock())

    def _note_changes(self, *, source):
        """Log which requests have become quarantined, or are no longer."""
        evidence = self._quarantine.evidence
        before = self._quarantined
        self._quarantined = evidence.quarantined()
        for fingerprint in self._quarantined - before:
            record = evidence.summarize_crashes(fingerprint)
            self._metrics.count_quarantined()
            logs.write_event(
                'request_quarantined',
                level='warning',
                content=fingerprint.hex(),
                crashes=record.crashes,
                releases=','.join(sorted(record.releases)),
                source=source,
            )
        for fingerprint in before - self._quarantined:
            logs.write_event(
                'request_released', content=fingerprint.hex(), source=source
            )

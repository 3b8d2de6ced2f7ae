"""Withhold requests that crash targets."""

from savoryyoke.quarantine import aggregates
from savoryyoke.quarantine import conf as quarantine_conf
from savoryyoke.quarantine import decisions
from savoryyoke.quarantine import events

from savoryyoke_edge import logs
from savoryyoke_gateway import conf

_POLICY = quarantine_conf.ENTRY_POLICY


class Suspects:
    """Own the evidence about requests that may crash targets.

    Entries exchange crash reports in heartbeats. An entry sends its reports
    again and again while a peer's evidence digest differs from its own, so
    lost datagrams and new entries need no special handling.
    """

    def __init__(self, *, metrics, clock):
        self._metrics = metrics
        self._clock = clock
        self._quarantine = aggregates.Quarantine(policy=_POLICY)
        self._quarantined_patterns = frozenset()

    def find_withheld(self, call):
        """Return the ``Withhold`` decision on a request, or None."""
        (decision,) = self._apply(
            events.SendOffered(
                call_id=call.placement_id,
                fingerprint=call.content_digest,
                prompt_parts=call.prompt_part_digests,
            )
        )
        if not isinstance(decision, decisions.Withhold):
            return None
        return decision

    def record_success(self, call, target):
        """Record that a target has answered a request completely."""
        self._apply(
            events.CallSucceeded(
                fingerprint=call.content_digest,
                prompt_parts=call.prompt_part_digests,
                release=target.release,
            )
        )
        if self._quarantined_patterns:
            self._report_changes(source='answer')

    def update_peers(self, heartbeats):
        """Update the number of live peers from their last heartbeats."""
        self._apply(events.PeersCounted(count=len(heartbeats)))
        self._report_changes(source='time')

    def add_reports(self, reports, *, source):
        """Add crash reports; ``source`` names their sender, for the log."""
        if reports:
            self._apply(events.ReportsReceived(reports=tuple(reports)))
            self._report_changes(source=source)

    def digest(self):
        """Return the digest of this entry's evidence."""
        return self._quarantine.evidence.digest(now_s=self._clock())

    def quarantined_count(self):
        """Return how many patterns of requests are quarantined."""
        return len(self._quarantined_patterns)

    def reports_due(self, heartbeats):
        """Return the reports for the next heartbeat.

        ``heartbeats`` are the last ones of all peers. Return an empty tuple
        if all of them have the evidence digest of this entry.
        """
        digest = self.digest()
        if all(
            heartbeat.evidence_digest == digest for heartbeat in heartbeats
        ):
            return ()
        report_decisions = self._apply(
            events.HeartbeatDue(
                report_limit=conf.CRASH_REPORTS_PER_HEARTBEAT,
                digests_per_report=conf.CRASH_DIGESTS_PER_REPORT,
            )
        )
        return tuple(
            report
            for decision in report_decisions
            for report in decision.reports
        )

    def _apply(self, event):
        return self._quarantine.apply(event, now_s=self._clock())

    def _report_changes(self, *, source):
        """Log and count patterns that entered or left quarantine."""
        evidence = self._quarantine.evidence
        previous_patterns = self._quarantined_patterns
        self._quarantined_patterns = evidence.quarantined()
        for pattern in self._quarantined_patterns - previous_patterns:
            record = evidence.summarize_crashes(pattern)
            self._metrics.count_quarantined()
            logs.write_event(
                'request_quarantined',
                level='warning',
                pattern=logs.join_digests(pattern),
                crashes=record.crashes,
                releases=','.join(sorted(record.releases)),
                source=source,
            )
        for pattern in previous_patterns - self._quarantined_patterns:
            logs.write_event(
                'request_released',
                pattern=logs.join_digests(pattern),
                source=source,
            )

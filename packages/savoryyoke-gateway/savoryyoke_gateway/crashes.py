"""Detect crashed targets and the requests that they were running."""

import dataclasses

import anyio

from savoryyoke.quarantine import conf as quarantine_conf
from savoryyoke.quarantine import detection
from savoryyoke.quarantine import events

from savoryyoke_edge import logs
from savoryyoke_gateway import conf
from savoryyoke_gateway import exceptions
from savoryyoke_gateway import exchanges

# Reasons of broken tries that a crash of the target can cause, see
# ``exchanges``. A VM that loses power doesn't close its connections; its
# crash shows only when the target leaves the published list.
_CLOSED_CONNECTION_REASONS = frozenset(
    {'reset', 'malformed', 'invalid-status', 'torn'}
)
_CRASH_REASONS = _CLOSED_CONNECTION_REASONS | {'silent'}


@dataclasses.dataclass(frozen=True, kw_only=True)
class _DelayedProbe:
    """Hold a target and the time on the clock to probe it."""

    target: object
    due_s: float


class CrashWatch:
    """Detect crashes of targets and report them to ``suspects``.

    A process that ends may close its connections before its listener.
    Therefore a target that accepts a connection right after it broke one is
    probed again after ``CRASH_PROBE_DELAY_S``.
    """

    def __init__(self, *, suspects, metrics, clock):
        self._suspects = suspects
        self._metrics = metrics
        self._clock = clock
        self._detector = detection.CrashDetector(
            report_lifetime_s=quarantine_conf.ENTRY_POLICY.evidence_lifetime_s
        )
        self._probe_sender, self._probe_receiver = (
            anyio.create_memory_object_stream(conf.DELAYED_PROBES_LIMIT)
        )

    async def run(self):
        """Carry out delayed probes until cancelled."""
        async for probe in self._probe_receiver:
            await anyio.sleep(max(probe.due_s - self._clock(), 0.0))
            await self._probe(probe.target)

    def set_targets(self, targets):
        """Replace the published targets."""
        self._apply(events.TargetsListed(targets=targets))

    def record_refused_connection(self, target):
        """Record that nothing listens at a target's address."""
        self._apply(events.ConnectionRefused(target=target))

    def record_abandoned_try(self, call, target):
        """Record a try that this entry or its caller has cancelled."""
        self._record_lost_try(call, target, is_broken=False)

    def record_silent_try(self, call, target):
        """Record a try whose stream was silent and was moved."""
        self._record_lost_try(call, target, is_broken=True)

    async def check_for_crash(self, call, target, *, reason):
        """Determine whether a broken try was caused by a crash of its target.

        ``reason`` is the reason of the ``ExchangeBroken`` error.
        """
        self._record_lost_try(call, target, is_broken=reason in _CRASH_REASONS)
        if reason in _CLOSED_CONNECTION_REASONS and not await self._probe(
            target
        ):
            self._schedule_probe(target)

    async def _probe(self, target):
        """Return whether nothing listens at a target's address."""
        exchange = exchanges.Exchange(target=target)
        try:
            await exchange.connect(timeout_s=conf.CRASH_PROBE_TIMEOUT_S)
        except exceptions.TargetUnreachable as error:
            if error.is_refused:
                self.record_refused_connection(target)
            return error.is_refused
        finally:
            await exchange.aclose()
        return False

    def _schedule_probe(self, target):
        probe = _DelayedProbe(
            target=target, due_s=self._clock() + conf.CRASH_PROBE_DELAY_S
        )
        try:
            self._probe_sender.send_nowait(probe)
        except anyio.WouldBlock:
            logs.write_event(
                'crash_probe_skipped',
                level='warning',
                target=target.target_id,
                reason='too-many',
            )

    def _record_lost_try(self, call, target, *, is_broken):
        self._apply(
            events.TryLost(
                target=target,
                fingerprint=call.content_digest,
                prompt_parts=call.prompt_part_digests,
                is_broken=is_broken,
            )
        )

    def _apply(self, event):
        for report in self._detector.apply(event, now_s=self._clock()):
            self._metrics.count_crash()
            logs.write_event(
                'target_crashed',
                level='warning',
                crash=report.crash_id,
                seen_by=type(event).__name__,
                release=report.release,
                contents=logs.join_digests(report.fingerprints),
                prompt_parts=logs.join_digests(report.prompt_parts),
            )
            self._suspects.add_reports((report,), source='own')

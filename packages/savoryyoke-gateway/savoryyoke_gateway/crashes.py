"""Notice targets that crash, and the requests that were at them."""

import dataclasses

import anyio

from savoryyoke.quarantine import conf as quarantine_conf
from savoryyoke.quarantine import detection
from savoryyoke.quarantine import events

from savoryyoke_edge import logs
from savoryyoke_gateway import conf
from savoryyoke_gateway import exceptions
from savoryyoke_gateway import exchanges

# Reasons of broken tries that a crash may have, see ``exchanges``. A VM that
# has lost its power says nothing; only the list then shows the crash.
_CLOSED_REASONS = frozenset({'reset', 'malformed', 'torn'})
_CRASH_REASONS = _CLOSED_REASONS | {'silent'}


@dataclasses.dataclass(frozen=True, kw_only=True)
class _LaterProbe:
    target: object
    due_s: float


class CrashWatch:
    """Own what this entry has seen of crashed targets.

    A process that ends may close its connections before its listener, so a
    target that still takes a connection right after it broke one is tried
    again a moment later. ``suspects`` is told of each crash.
    """

    def __init__(self, *, suspects, metrics, clock):
        self._suspects = suspects
        self._metrics = metrics
        self._clock = clock
        self._detector = detection.CrashDetector(
            report_lifetime_s=quarantine_conf.ENTRY_POLICY.evidence_lifetime_s
        )
        self._later, self._due = anyio.create_memory_object_stream(
            conf.LATER_PROBES_LIMIT
        )

    async def run(self):
        """Carry out later probes until cancelled."""
        async for probe in self._due:
            await anyio.sleep(max(probe.due_s - self._clock(), 0.0))
            await self._probe(probe.target)

    def note_targets(self, targets):
        """Take over the targets that are published."""
        self._detect(events.TargetsListed(targets=targets))

    def note_refused(self, target):
        """Report that nothing listens at a target's address."""
        self._detect(events.ConnectionRefused(target=target))

    def note_given_up(self, call, target):
        """Report a try that this entry or its caller has given up."""
        self._note_lost(call, target, is_broken=False)

    def note_silent(self, call, target):
        """Report a try that was moved, as its target said nothing."""
        self._note_lost(call, target, is_broken=True)

    async def examine(self, call, target, *, reason):
        """Find out whether a target crashed under a try that broke."""
        self._note_lost(call, target, is_broken=reason in _CRASH_REASONS)
        if reason in _CLOSED_REASONS and not await self._probe(target):
            self._probe_later(target)

    async def _probe(self, target):
        """Return whether nothing listens at the target's address."""
        exchange = exchanges.Exchange(target=target)
        try:
            await exchange.connect(timeout_s=conf.CRASH_PROBE_TIMEOUT_S)
        except exceptions.TargetUnreachable as error:
            if error.is_refused:
                self.note_refused(target)
            return error.is_refused
        finally:
            await exchange.aclose()
        return False

    def _probe_later(self, target):
        probe = _LaterProbe(
            target=target, due_s=self._clock() + conf.CRASH_PROBE_DELAY_S
        )
        try:
            self._later.send_nowait(probe)
        except anyio.WouldBlock:
            logs.write_event(
                'crash_probe_skipped',
                level='warning',
                target=target.target_id,
                reason='too-many',
            )

    def _note_lost(self, call, target, *, is_broken):
        self._detect(
            events.TryLost(
                target=target, fingerprint=call.content, is_broken=is_broken
            )
        )

    def _detect(self, event):
        for report in self._detector.apply(event, now_s=self._clock()):
            self._metrics.count_crash()
            logs.write_event(
                'target_crashed',
                level='warning',
                crash=report.crash_id,
                seen_by=type(event).__name__,
                release=report.release,
                contents=','.join(
                    sorted(x.hex() for x in report.fingerprints)
                ),
            )
            self._suspects.take_in((report,), source='own')

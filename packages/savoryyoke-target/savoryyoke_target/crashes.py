"""Detect crashes of the back end and quarantine the requests behind them."""

import itertools
import math

import anyio

from savoryyoke.quarantine import aggregates
from savoryyoke.quarantine import decisions
from savoryyoke.quarantine import events
from savoryyoke_edge import crash_reports
from savoryyoke_edge import logs
from savoryyoke_target import conf
from savoryyoke_wire import conf as wire_conf


class CrashGuard:
    """Detect crashes of the back end and apply the quarantine to its calls.

    The back end counts as crashed when a call failed and it then refuses a
    new connection. The owner's ``on_backend_stopped()``,
    ``on_backend_restarted()`` and ``on_quarantined(call_id)`` are called on
    these events, and its ``running_ids`` are read. ``broadcast_load()``
    sends the state with new crash reports to all entries.
    """

    def __init__(self, *, process_name, backend, tasks, clock, broadcast_load):
        self._process_name = process_name
        self._backend = backend
        self._tasks = tasks
        self._clock = clock
        self._broadcast_load = broadcast_load
        self._owner = None
        self._quarantine = aggregates.Quarantine()
        self._crash_numbers = itertools.count(1)
        self._lock = anyio.Lock()
        self._stopped = False
        self._probe_started_s = -math.inf
        self._crash_reports_by_call_id = {}

    def attach(self, owner):
        """Set the object whose callbacks are called."""
        self._owner = owner

    def request_run(self, call_id, call):
        """Return the quarantine's decision on a call about to start."""
        if len(call.fingerprint) != wire_conf.CRASH_DIGEST_BYTES:
            return decisions.Run(call_id=call_id, suspect=False)
        *stops, decision = self._apply(
            events.RunRequested(
                call_id=call_id,
                fingerprint=call.fingerprint,
                reports=crash_reports.unpack(call.crash_reports),
            )
        )
        for stop in stops:
            self._owner.on_quarantined(stop.call_id)
        return decision

    def end_run(self, call_id, *, succeeded):
        """Record that a run ended without a crash."""
        self._apply(events.RunEnded(call_id=call_id, succeeded=succeeded))

    async def check_backend(self):
        """Check, after a failed call, whether the back end has crashed."""
        requested_s = self._clock()
        async with self._lock:
            # A probe also covers the checks requested before it started.
            if self._stopped or self._probe_started_s > requested_s:
                return
            self._probe_started_s = self._clock()
            if not await self._has_crashed():
                return
            self._stopped = True
            self._report_crash()
            self._tasks.start_soon(self._await_restart)

    async def _has_crashed(self):
        """Return whether one of several probes is refused.

        A process that is dying closes its connections before its listener,
        so that the first probe may still succeed.
        """
        for delay_s in conf.CRASH_PROBE_DELAYS_S:
            await anyio.sleep(delay_s)
            if await self._backend.refuses_connections():
                return True
        return False

    def pop_reports(self, call_id):
        """Remove and return the wire reports of a call's crash."""
        return self._crash_reports_by_call_id.pop(call_id, ())

    def next_reports(self):
        """Return the wire reports for the next load message."""
        heartbeat_due = events.HeartbeatDue(
            report_limit=conf.CRASH_REPORTS_PER_LOAD
        )
        return _pack_shared(self._apply(heartbeat_due))

    def _report_crash(self):
        crash_id = f'{self._process_name}-{next(self._crash_numbers)}'
        report_decisions = self._apply(
            events.BackendCrashed(crash_id=crash_id)
        )
        reports = _pack_shared(report_decisions)
        logs.write_event(
            'backend_stopped',
            level='error',
            crash=crash_id,
            known=bool(report_decisions),
        )
        self._crash_reports_by_call_id = dict.fromkeys(
            self._owner.running_ids, reports
        )
        self._owner.on_backend_stopped()
        self._broadcast_load()

    async def _await_restart(self):
        while await self._backend.refuses_connections():
            await anyio.sleep(conf.BACKEND_PROBE_PERIOD_S)
        self._stopped = False
        logs.write_event('backend_restarted')
        self._owner.on_backend_restarted()
        self._broadcast_load()

    def _apply(self, event):
        return self._quarantine.apply(event, now_s=self._clock())


def _pack_shared(report_decisions):
    """Return the reports of the decisions as wire messages, () if none."""
    return crash_reports.pack(
        report for decision in report_decisions for report in decision.reports
    )

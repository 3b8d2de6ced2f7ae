"""Notice crashes of the back end and keep the requests that cause them."""

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
    """Own the quarantine of this process and the watch on its back end.

    A back end has crashed when a call of it broke and it then refuses a
    new connection. ``owner`` is told through ``on_backend_stopped()``,
    ``on_backend_restarted()`` and ``on_quarantined(call_id)``; ``share()``
    sends the news to all entries.
    """

    def __init__(self, *, process_name, backend, tasks, clock, share):
        self._process_name = process_name
        self._backend = backend
        self._tasks = tasks
        self._clock = clock
        self._share = share
        self._owner = None
        self._quarantine = aggregates.Quarantine()
        self._numbers = itertools.count(1)
        self._lock = anyio.Lock()
        self._stopped = False
        self._probe_began_s = -math.inf
        self._crash_reports_by_call_id = {}

    def attach(self, owner):
        """Set who is told of what is found."""
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
        """Report that a run is over without a crash."""
        self._apply(events.RunEnded(call_id=call_id, succeeded=succeeded))

    async def examine(self):
        """Find out whether the back end died under a call that broke."""
        came_s = self._clock()
        async with self._lock:
            # One probe answers all who came before it began.
            if self._stopped or self._probe_began_s > came_s:
                return
            self._probe_began_s = self._clock()
            if not await self._has_crashed():
                return
            self._stopped = True
            self._report_crash()
            self._tasks.start_soon(self._await_restart)

    async def _has_crashed(self):
        """Probe more than once.

        A process that dies closes its connections before its listener.
        """
        for delay_s in conf.CRASH_PROBE_DELAYS_S:
            await anyio.sleep(delay_s)
            if await self._backend.refuses_connections():
                return True
        return False

    def take_reports(self, call_id):
        """Return the protocol's reports of the crash that broke a call."""
        return self._crash_reports_by_call_id.pop(call_id, ())

    def next_reports(self):
        """Return the reports that the next message to all carries."""
        due = events.HeartbeatDue(report_limit=conf.CRASH_REPORTS_PER_LOAD)
        return _pack_shared(self._apply(due))

    def _report_crash(self):
        crash_id = f'{self._process_name}-{next(self._numbers)}'
        made = self._apply(events.BackendCrashed(crash_id=crash_id))
        reports = _pack_shared(made)
        logs.write_event(
            'backend_stopped', level='error', crash=crash_id, known=bool(made)
        )
        self._crash_reports_by_call_id = dict.fromkeys(
            self._owner.running_ids, reports
        )
        self._owner.on_backend_stopped()
        self._share()

    async def _await_restart(self):
        while await self._backend.refuses_connections():
            await anyio.sleep(conf.BACKEND_PROBE_PERIOD_S)
        self._stopped = False
        logs.write_event('backend_restarted')
        self._owner.on_backend_restarted()
        self._share()

    def _apply(self, event):
        return self._quarantine.apply(event, now_s=self._clock())


def _pack_shared(made):
    """Return the protocol's reports of a decision to share, if any."""
    return crash_reports.pack(
        report for decision in made for report in decision.reports
    )

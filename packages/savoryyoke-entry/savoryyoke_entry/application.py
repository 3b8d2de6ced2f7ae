"""Serve the directory and the services' operations to callers."""

import dataclasses
import itertools
import traceback

import anyio

from savoryyoke_edge import logs
from savoryyoke_edge import problems
from savoryyoke_entry import callers
from savoryyoke_entry import conf
from savoryyoke_entry import exceptions
from savoryyoke_entry import keyed
from savoryyoke_entry import relays
from savoryyoke_entry import requests


class Application:
    """Serve callers over ASGI with the state of ``daemon``."""

    def __init__(self, *, daemon, settings, clock, incarnation):
        self._daemon = daemon
        self._settings = settings
        self._clock = clock
        self._call_id_prefix = f'{settings.vm_id}-{incarnation:016x}'
        self._call_numbers = itertools.count(1)
        self.in_flight = 0

    async def __call__(self, scope, receive, send):
        """Serve one ASGI request."""
        if scope['type'] != 'http':
            return
        arrival = keyed.record_arrival(
            scope,
            routes=self._daemon.fleet.routes,
            is_doubtful=self._daemon.observe_pause(),
            now_s=self._clock(),
        )
        self.in_flight += 1
        caller = callers.Caller(receive=receive, send=send)
        try:
            await self._serve(scope, receive, caller, arrival)
        except exceptions.CallerGone:
            logs.write_event('caller_gone', path=scope['path'])
        except Exception as error:
            await self._report_failure(scope, caller, error)
        finally:
            self.in_flight -= 1

    async def _report_failure(self, scope, caller, error):
        """Log a fault of this program; the request may have run."""
        trace = ''.join(traceback.format_exception(error))
        logs.write_event(
            'request_failed', level='error', path=scope['path'], trace=trace
        )
        self._daemon.count_request('', '', 'internal-error', 0.0)
        await caller.send_problem(problems.Problem(name='internal-error'))

    async def _serve(self, scope, receive, caller, arrival):
        if scope['path'] == conf.DIRECTORY_PATH:
            await self._send_directory(scope, caller)
            return
        try:
            request = await self._read_request(scope, receive, arrival.at_s)
        except exceptions.RequestRefused as refusal:
            await self._send_refusal(scope, caller, arrival, refusal.problem)
            return
        call_id = f'{self._call_id_prefix}-{next(self._call_numbers)}'
        with self._daemon.team_limiter.admit(call_id, request) as refusal:
            outcome = await self._run_request(
                request, caller, call_id, arrival, refusal
            )
        logs.write_event(
            'request_ended',
            call=call_id,
            service=request.route.service_name,
            operation=request.route.operation_name,
            team=request.team_name,
            outcome=outcome,
            duration_s=self._clock() - arrival.at_s,
        )
        self._daemon.count_request(
            request.route.service_name,
            request.route.operation_name,
            outcome,
            self._clock() - arrival.at_s,
        )

    async def _send_directory(self, scope, caller):
        answer = self._daemon.build_directory(scope)
        if isinstance(answer, problems.Problem):
            await caller.send_problem(answer)
            return
        await caller.send_json(answer)

    async def _read_request(self, scope, receive, now_s):
        route_table, teams = self._daemon.get_routes_and_teams()
        return await requests.read_request(
            scope,
            receive,
            route_table=route_table,
            teams=teams,
            limit_bytes=self._settings.body_limit_bytes,
            now_s=now_s,
        )

    async def _send_refusal(self, scope, caller, arrival, problem):
        if arrival.is_bound:
            # An earlier attempt may have run; only the ledger records it.
            problem = dataclasses.replace(
                problem, outcome=problems.MAY_HAVE_RUN
            )
        logs.write_event(
            'request_refused',
            path=scope['path'],
            problem=problem.name,
            detail=problem.detail,
        )
        self._daemon.count_request('', '', problem.name, 0.0)
        await caller.send_problem(problem)

    async def _run_request(self, request, caller, call_id, arrival, refusal):
        """Run the request while watching for the caller to disconnect.

        A request with a ``refusal``, the ``Problem`` of its team's limit, does
        not run. If it is not idempotent, its key is sealed first.
        """
        if refusal is not None and request.idempotent:
            await caller.send_problem(refusal)
            return refusal.name
        result = 'caller-gone'
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(caller.watch_disconnect)
            if request.idempotent:
                tasks.start_soon(_cancel_when_gone, caller, tasks.cancel_scope)
                relay = self._build_relay(request, caller, call_id)
            else:
                relay = self._build_keyed_relay(
                    request, caller, call_id, arrival, refusal
                )
            result = await relay.run()
            tasks.cancel_scope.cancel()
        return result

    def _build_relay(self, request, caller, call_id):
        return relays.Relay(
            request=request,
            caller=caller,
            service=self._daemon.fleet.services[request.route.service_name],
            suspect_requests=self._daemon.fleet.suspect_requests,
            clock=self._clock,
            call_id=call_id,
        )

    def _build_keyed_relay(self, request, caller, call_id, arrival, refusal):
        return keyed.KeyedRelay(
            request=request,
            caller=caller,
            fleet=self._daemon.fleet,
            carried=self._daemon.carried,
            limits=self._daemon.attempt_limits,
            clock=self._clock,
            attempt_id=call_id,
            arrival=arrival,
            refusal=refusal,
        )


async def _cancel_when_gone(caller, scope):
    await caller.gone.wait()
    scope.cancel()

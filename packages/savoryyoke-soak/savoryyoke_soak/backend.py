"""Run a fake target as a process.

The process prints its address, then one line for each run that starts, one
for each request that it refuses while it is busy and one for each request
that arrives while it states a rate limit. Signals change its behaviour.
SIGUSR1: its answers announce that it is leaving. SIGUSR2: it asks for a pause
for ``conf.BUSY_FOR_S``. SIGHUP: its next answers never end. SIGRTMIN: it
states a rate limit, and none after the next SIGRTMIN.
"""

import functools
import os
import signal
import sys
import time

import anyio

from savoryyoke_fakes.deployment import replica

from savoryyoke_soak import conf


_ENDLESS_ODDITIES = (
    replica.Oddity.DRIPPED_BODY,
    replica.Oddity.ENDLESS_HEAD,
    replica.Oddity.DRIPPED_HEAD,
)


class PrintedRuns:
    """Print each run at once, so that a killed process loses none."""

    def append(self, run):
        """Print one run; exit the process if the request is fatal."""
        request_id = run.request.headers.get('x-request-id')
        if request_id:
            print(f'run {request_id} {time.monotonic():.6f}', flush=True)
        else:
            print(f'unidentified {run.request!r}', flush=True)
        if run.request.body.startswith(conf.FATAL_BODY):
            os._exit(1)


class PrintedArrivals:
    """Print the requests that arrive while the target is busy or limited."""

    def __init__(self):
        self.is_busy = False
        self.is_limited = False

    def append(self, request):
        """Print one request if the target is busy or states a limit."""
        if self.is_busy:
            self._print('busy', request)
        if self.is_limited:
            self._print('limited', request)

    @staticmethod
    def _print(word, request):
        request_id = request.headers.get('x-request-id', '')
        print(f'{word} {request_id} {time.monotonic():.6f}', flush=True)


async def handle_signals(fake):
    """Change the target's behaviour on each signal, until cancelled."""
    with anyio.open_signal_receiver(
        signal.SIGUSR1, signal.SIGUSR2, signal.SIGHUP, signal.SIGRTMIN
    ) as signals:
        async for received in signals:
            if received is signal.SIGUSR1:
                fake.is_leaving = True
            elif received is signal.SIGHUP:
                fake.oddities.extend(_ENDLESS_ODDITIES)
            elif received is signal.SIGRTMIN:
                is_limited = fake.rate_limit is None
                fake.rate_limit = (
                    str(conf.RATE_LIMIT_PER_S) if is_limited else None
                )
                fake.arrivals.is_limited = is_limited
            else:
                fake.pause, fake.arrivals.is_busy = str(conf.PAUSE_S), True
                await anyio.sleep(conf.BUSY_FOR_S)
                fake.pause, fake.arrivals.is_busy = None, False


async def serve(target_id, host):
    """Serve as the target ``target_id`` on ``host`` until killed."""
    fake = replica.FakeReplica(
        replica_id=target_id,
        common_oddities=[],
        common_runs=PrintedRuns(),
        events=conf.STREAM_EVENTS,
        work_s=conf.WORK_S,
    )
    fake.arrivals = PrintedArrivals()
    async with anyio.create_task_group() as group:
        group.start_soon(handle_signals, fake)
        host, port = await group.start(
            functools.partial(fake.serve, host=host)
        )
        print(f'address {host} {port}', flush=True)


if __name__ == '__main__':
    anyio.run(serve, sys.argv[1], sys.argv[2])

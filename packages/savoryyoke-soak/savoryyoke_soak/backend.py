"""Stand in for one target, as a process.

Prints its address, then one line for each run as it begins, and one for each
request that it turns away while it is busy. Signals change it: SIGUSR1 lets
it say that it leaves, SIGUSR2 lets it ask for a pause for a while, and SIGHUP
lets it answer some requests with bytes without end.
"""

import os
import signal
import sys
import time

import anyio

from savoryyoke_fakes.deployment import replica

from savoryyoke_soak import conf


_ENDLESS = (
    replica.Oddity.DRIPPED_BODY,
    replica.Oddity.ENDLESS_HEAD,
    replica.Oddity.DRIPPED_HEAD,
)


class PrintedRuns:
    """Print runs, so that those of a killed process are known too."""

    def append(self, run):
        """Print one run; end the process if the request is fatal."""
        request_id = run.request.headers.get('x-request-id', '')
        print(f'run {request_id} {time.monotonic():.6f}', flush=True)
        if run.request.body.startswith(conf.FATAL_BODY):
            os._exit(1)


class PrintedArrivals:
    """Print the requests that come while the target is busy."""

    def __init__(self):
        self.busy = False

    def append(self, request):
        """Print one request if it is going to be turned away."""
        if self.busy:
            request_id = request.headers.get('x-request-id', '')
            print(f'busy {request_id} {time.monotonic():.6f}', flush=True)


async def change(fake):
    """Follow signals until cancelled."""
    with anyio.open_signal_receiver(
        signal.SIGUSR1, signal.SIGUSR2, signal.SIGHUP
    ) as signals:
        async for received in signals:
            if received is signal.SIGUSR1:
                fake.is_leaving = True
            elif received is signal.SIGHUP:
                fake.oddities.extend(_ENDLESS)
            else:
                fake.pause, fake.arrivals.busy = str(conf.PAUSE_S), True
                await anyio.sleep(conf.BUSY_FOR_S)
                fake.pause, fake.arrivals.busy = None, False


async def serve(target_id):
    """Serve until killed."""
    fake = replica.FakeReplica(
        replica_id=target_id,
        common_oddities=[],
        common_runs=PrintedRuns(),
        events=conf.STREAM_EVENTS,
        work_s=conf.WORK_S,
    )
    fake.arrivals = PrintedArrivals()
    async with anyio.create_task_group() as group:
        group.start_soon(change, fake)
        host, port = await group.start(fake.serve)
        print(f'address {host} {port}', flush=True)


if __name__ == '__main__':
    anyio.run(serve, sys.argv[1])

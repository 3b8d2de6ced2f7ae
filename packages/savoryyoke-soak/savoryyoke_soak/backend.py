"""Stand in for one target, as a process.

Prints its address, then one line for each run as it begins.
"""

import os
import sys
import time

import anyio

from savoryyoke_fakes.deployment import replica

from savoryyoke_soak import conf


class PrintedRuns:
    """Print runs, so that those of a killed process are known too."""

    def append(self, run):
        """Print one run; end the process if the request is fatal."""
        request_id = run.request.headers.get('x-request-id', '')
        print(f'run {request_id} {time.monotonic():.6f}', flush=True)
        if run.request.body.startswith(conf.FATAL_BODY):
            os._exit(1)


async def serve(target_id):
    """Serve until killed."""
    fake = replica.FakeReplica(
        replica_id=target_id,
        common_oddities=[],
        common_runs=PrintedRuns(),
        events=conf.STREAM_EVENTS,
        work_s=conf.WORK_S,
    )
    async with anyio.create_task_group() as group:
        host, port = await group.start(fake.serve)
        print(f'address {host} {port}', flush=True)


if __name__ == '__main__':
    anyio.run(serve, sys.argv[1])

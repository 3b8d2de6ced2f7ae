"""Start a replica again each time that it has crashed."""

import dataclasses
import itertools
import time

import anyio

from savoryyoke_fakes.deployment import published
from savoryyoke_fakes.deployment import replica


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """Record a request that began to run at a replica."""

    at_s: float
    body: bytes


class RunLog:
    """Collect the runs of a replica as arrivals in a shared list."""

    def __init__(self, *, arrivals):
        self._arrivals = arrivals

    def append(self, run):
        """Record one run."""
        self._arrivals.append(
            Arrival(at_s=time.monotonic(), body=run.request.body)
        )


class RestartedReplica:
    """Own a replica's address over all of its incarnations.

    Each incarnation has an id of its own and is published in ``store``.
    Like the platform, the stand-in leaves the entry of a crashed incarnation
    in the list until the next one has started, ``down_s`` later. Runs are
    added to ``arrivals``; ``release`` and ``fatal_requests`` apply to the
    incarnations that start after a change.
    """

    def __init__(
        self, *, name, store, arrivals, fatal_requests, down_s=2.0, work_s=0.03
    ):
        self._name = name
        self._store = store
        self._arrivals = arrivals
        self._down_s = down_s
        self._work_s = work_s
        self.fatal_requests = fatal_requests
        self.release = 'v1'
        self.current = None

    async def run(self, *, task_status):
        """Serve until cancelled."""
        port = 0
        published_id = None
        for number in itertools.count(1):
            replica_id = f'{self._name}.{number}'
            self.current = replica.FakeReplica(
                replica_id=replica_id,
                common_oddities=[],
                common_runs=RunLog(arrivals=self._arrivals),
                work_s=self._work_s,
                fatal_requests=self.fatal_requests,
            )
            async with anyio.create_task_group() as group:
                address = await group.start(self._serve, port)
                port = address[1]
                self._publish(replica_id, address, number)
                if published_id is None:
                    task_status.started(address)
                else:
                    self._store.remove(f'servers/{published_id}')
                published_id = replica_id
            await anyio.sleep(self._down_s)

    async def _serve(self, port, *, task_status):
        await self.current.serve(task_status=task_status, port=port)

    def _publish(self, replica_id, address, number):
        entry = published.build_target(
            address=address,
            Version=self.release,
            born=1700000000000 + number,
        )
        self._store.write(f'servers/{replica_id}', entry)

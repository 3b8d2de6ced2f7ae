"""Restart a fake replica after each crash."""

import dataclasses
import itertools
import time

import anyio

from savoryyoke_fakes.deployment import published
from savoryyoke_fakes.deployment import replica


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """Record a request that a replica started to run.

    ``at_s`` is the monotonic time in seconds, ``prompt_parts`` the ids of
    the parts of its prompt that requests share.
    """

    at_s: float
    body: bytes
    prompt_parts: tuple[str, ...]


class RunLog:
    """Append an ``Arrival`` to a shared list for each run of a replica."""

    def __init__(self, *, arrivals):
        self._arrivals = arrivals

    def append(self, run):
        """Record one run."""
        self._arrivals.append(
            Arrival(
                at_s=time.monotonic(),
                body=run.request.body,
                prompt_parts=run.request.shared_prompt_parts,
            )
        )


class RestartedReplica:
    """Run a replica that restarts at the same address after each crash.

    Each incarnation has a new id and is published in ``store``. As on the
    real platform, the entry of a crashed incarnation stays listed until the
    next incarnation has started, ``down_s`` seconds later. Runs are appended
    to ``arrivals``. A change of ``release`` or ``fatal_requests`` applies
    from the next incarnation on. ``ended_s`` are the monotonic times of its
    crashes in seconds.
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
        self.ended_s = []

    async def run(self, *, task_status):
        """Serve until cancelled; pass the first address to ``task_status``."""
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
            self.ended_s.append(time.monotonic())
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

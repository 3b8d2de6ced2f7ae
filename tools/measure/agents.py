"""Measure the processor time of the agents of a group without map changes.

All agents run in one thread, with the engine client of the platform. The
simulated engines and the entry run in another one, whose time is not counted.
The time of an agent includes the passes of the event loop that several agents
share.
"""

import functools
import io
import json
import threading
import time

import anyio

from savoryyoke.groups.balancing import planner
from savoryyoke.groups.rollout import models

from savoryyoke_agent import daemon
from savoryyoke_agent import ports
from savoryyoke_edge import logs
from savoryyoke_fakes.deployment import http
from savoryyoke_platform import ranks as engine_calls
from savoryyoke_wire import group
from tools.measure import reports

RANKS = 12
WARM_UP_S = 4.0
MEASURED_S = 8.0
PASS_S = 0.08
ENTRY_HOST = '127.0.3.1'
PEER_PORT = 28_418
ENGINE_PORT = 28_419
SHAPE = models.GroupShape(sets=4, experts=72, slots=8, max_copies_per_rank=3)


def _make_host(rank):
    return f'127.0.3.{rank + 2}'


class Engines:
    """Serve the engines of a group, and the entry that knows its members."""

    def __init__(self, *, ranks):
        self._ranks = ranks
        self._experts = planner.make_initial_map(
            sets=SHAPE.sets, ranks=ranks, experts=SHAPE.experts
        )
        self._started = threading.Event()

    def start(self):
        """Start a thread that serves until the process ends."""
        threading.Thread(
            target=anyio.run, args=(self._serve,), daemon=True
        ).start()
        self._started.wait()

    async def _serve(self):
        async with anyio.create_task_group() as tasks:
            for rank in range(self._ranks):
                await tasks.start(self._serve_engine, rank)
            tasks.start_soon(self._serve_members)
            self._started.set()

    async def _serve_engine(self, rank, *, task_status):
        await http.serve(
            functools.partial(self._answer, rank),
            task_status=task_status,
            host=_make_host(rank),
            port=ENGINE_PORT,
        )

    async def _answer(self, rank, request, connection):
        step = int(time.monotonic() / PASS_S)
        if request.target.endswith('report'):
            document = {
                'group': {
                    'Name': 'g',
                    'epoch': 1,
                    'rank': rank,
                    'State': 'open',
                },
                'size': self._ranks,
                'step': step,
                'Running': 4,
                'pace': 1.0,
            }
        elif request.target.endswith('picked'):
            document = {'Counts': [3 * step] * SHAPE.sets * SHAPE.experts}
        else:
            experts = [by_rank[rank] for by_rank in self._experts]
            document = {'Map': {'Version': 0, 'Experts': experts}}
        await connection.answer(200, body=json.dumps(document).encode())

    async def _serve_members(self):
        members = models.GroupMembers(
            shape=SHAPE,
            hosts_by_rank={
                rank: _make_host(rank) for rank in range(self._ranks)
            },
        )
        async with await anyio.create_udp_socket(
            local_host=ENTRY_HOST, local_port=PEER_PORT
        ) as udp_socket:
            async for _, (host, port) in udp_socket:
                report = group.MembersReport(group='g', members=members)
                await udp_socket.sendto(group.encode(report), host, port)


async def _read_published_values():
    return None


def _build_daemon(rank):
    host = _make_host(rank)
    return daemon.RankDaemon(
        settings=ports.AgentSettings(
            vm_id=f'vm-{rank}',
            data_centre='dc',
            own_host=host,
            peer_port=PEER_PORT,
            pace_port=PEER_PORT,
            own_address=f'{host}:80',
            seed_hosts=(ENTRY_HOST,),
            link_bytes_per_s=500_000,
        ),
        engine=engine_calls.EngineClient(host=host, port=ENGINE_PORT),
        member_finder=None,
        read_published_values=_read_published_values,
    )


async def measure_agents(ranks):
    """Measure a group of this size."""
    async with anyio.create_task_group() as tasks:
        for rank in range(ranks):
            tasks.start_soon(_build_daemon(rank).run)
        await anyio.sleep(WARM_UP_S)
        started_s, used_s = time.monotonic(), time.thread_time()
        await anyio.sleep(MEASURED_S)
        used_s = time.thread_time() - used_s
        elapsed_s = time.monotonic() - started_s
        tasks.cancel_scope.cancel()
    reports.print_line(
        'agents',
        ranks=ranks,
        core_per_agent=round(used_s / elapsed_s / ranks, 4),
    )


def main():
    """Run the measure."""
    logs.set_up('info', stream=io.StringIO())
    Engines(ranks=RANKS).start()
    anyio.run(measure_agents, RANKS)


if __name__ == '__main__':
    main()

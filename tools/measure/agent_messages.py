"""Measure the processor time of messages between the agents of a group.

One process sends each message through one socket, receives it with another
and decodes it.
"""

import random
import time

import anyio

from savoryyoke.groups.rollout import models

from savoryyoke_agent import exchange
from savoryyoke_wire import group
from tools.measure import reports

MESSAGES = 500
PAUSE_S = 0.003
HOSTS = ('127.0.2.2', '127.0.2.3')
PORT = 28_417
LINK_BYTES_PER_S = 500_000
TERM = models.Term(number=3, rank=1)


def _build_messages():
    source = random.Random(7)
    state = models.EngineState(
        group='some-group',
        epoch=1,
        rank=5,
        ranks=72,
        is_open=True,
        step=81_200,
        active=4,
        prepared=5,
        armed=None,
        held=None,
    )
    return (
        models.RankReport(host=HOSTS[0], state=state, term=TERM),
        models.Directive(
            group='some-group',
            epoch=1,
            term=TERM,
            sequence=9,
            leader_host=HOSTS[0],
            phase=models.Phase.PREPARE,
            version=5,
        ),
        group.ChoicesReport(
            group='some-group',
            rank=5,
            choices=tuple(source.choices((0, 3, 20, 300), k=4 * 72)),
        ),
    )


async def measure_messages():
    """Measure each kind of message."""
    received = []
    exchanges = [
        exchange.Exchange(
            host=host,
            port=PORT,
            link_bytes_per_s=LINK_BYTES_PER_S,
            receive=received.append,
            clock=time.monotonic,
        )
        for host in HOSTS
    ]
    async with anyio.create_task_group() as tasks:
        for each in exchanges:
            tasks.start_soon(each.run)
        await anyio.sleep(0.1)
        for message in (None, *_build_messages()):
            await _measure_message(message, exchanges[0], received)
        tasks.cancel_scope.cancel()


async def _measure_message(message, sender, received):
    received.clear()
    started_s = time.process_time()
    for _ in range(MESSAGES):
        if message is not None:
            await sender.send(message, HOSTS[1:])
        await anyio.sleep(PAUSE_S)
    message_s = (time.process_time() - started_s) / MESSAGES
    reports.print_line(
        'agent_messages',
        message='pause' if message is None else type(message).__name__,
        messages=MESSAGES,
        received=len(received),
        microseconds_per_message=round(message_s * 1e6),
    )


def main():
    """Run the measure."""
    anyio.run(measure_messages)


if __name__ == '__main__':
    main()

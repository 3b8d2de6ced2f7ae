"""Measure the processor time of an agent's calls to its engine.

The simulated engine runs in another thread, whose time is not counted.
"""

import json
import threading
import time

import anyio

from savoryyoke_fakes.deployment import http
from savoryyoke_platform import ranks
from tools.measure import reports

CALLS = 500
PAUSE_S = 0.003
SETS = 8
EXPERTS = 72
REPORT = {
    'group': {'Name': 'g', 'epoch': 3, 'rank': 1, 'State': 'open'},
    'size': 72,
    'Map': 4,
    'Prepared': 5,
    'Armed': None,
    'held': None,
    'Running': 4,
    'Queued': 2,
    'pace': 1.02,
}


class Engine:
    """Serve the reports and counts of an engine whose passes go on."""

    def __init__(self):
        self._started = threading.Event()
        self._address = None
        self._calls = 0

    def start(self):
        """Start a thread that serves until the process ends.

        Return the host and the port.
        """
        threading.Thread(
            target=anyio.run, args=(self._serve,), daemon=True
        ).start()
        self._started.wait()
        return self._address

    async def _serve(self):
        async with anyio.create_task_group() as group:
            self._address = await group.start(self._listen)
            self._started.set()

    async def _listen(self, *, task_status):
        await http.serve(self._answer, task_status=task_status)

    async def _answer(self, request, connection):
        self._calls += 1
        document = REPORT | {'step': self._calls // 2}
        if request.target.endswith('picked'):
            document = {'Counts': [self._calls] * SETS * EXPERTS}
        await connection.answer(200, body=json.dumps(document).encode())


async def measure_calls(host, port):
    """Measure each kind of call, and the pause between two calls."""
    client = ranks.EngineClient(host=host, port=port)
    for name, call in (
        ('pause', _do_nothing),
        ('report', client.observe),
        ('counts', client.read_counts),
    ):
        await call()
        started_s = time.thread_time()
        for _ in range(CALLS):
            await call()
            await anyio.sleep(PAUSE_S)
        call_s = (time.thread_time() - started_s) / CALLS
        reports.print_line(
            'engine_calls',
            call=name,
            calls=CALLS,
            microseconds_per_call=round(call_s * 1e6),
        )


async def _do_nothing():
    return None


def main():
    """Run the measure."""
    anyio.run(measure_calls, *Engine().start())


if __name__ == '__main__':
    main()

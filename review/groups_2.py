"""Stand-in for the engines of one group: passes, orders, maps and streams.

It follows the users' PROTOCOL.md. All engines run in one event loop.
"""

import asyncio
import json
import random
import time

import standins_2 as standins

GROUP = 'group-1'
EPOCH = 1
SETS = 2
PLACES = 4
SPARE = 3
SLOTS = 5
PASS_S = 0.05
COPY_S = 0.25
EVENTS = 10

_USUAL_CHOICES = 2
_POPULAR_CHOICES = 40


class Engine:
    """Hold the state of one rank and carry out its orders."""

    def __init__(self, *, group, rank, host):
        self.rank = rank
        self.host = host
        self.name = f'engine-{rank}'
        self.map_version = 0
        self.held_step = None
        self.armed = None
        self.experts = group.build_first_map(rank)
        self._group = group
        self._prepared = None
        self._prepared_experts = None
        self._newest_version = 0
        self._streams = 0

    def build_report(self):
        """Return the answer to a request for the report."""
        return {
            'group': {
                'Name': GROUP,
                'epoch': EPOCH,
                'rank': self.rank,
                'State': 'open',
            },
            'size': self._group.ranks,
            'step': self._group.step,
            'Map': self.map_version,
            'Prepared': self._prepared,
            'Armed': None if self.armed is None else self.armed[0],
            'held': self.held_step,
            'pace': 1.0,
            'Running': self._streams,
            'Queued': 0,
            'Busy': False,
            'born': 1700000000000,
        }

    def build_picked(self, *, has_lists):
        """Return the answer to a request for choices or experts."""
        document = {'step': self._group.step, 'epoch': EPOCH}
        if has_lists:
            document['Map'] = {
                'Version': self.map_version,
                'Experts': self.experts,
            }
        else:
            document['Counts'] = self._group.count_choices()
        return document

    def apply_order(self, order):
        """Carry out an order and return its status."""
        if order.get('epoch') != EPOCH:
            return 409
        match order['Op']:
            case 'prepare':
                return self._prepare(order)
            case 'arm':
                return self._arm(order['Version'], order['step'])
            case 'disarm':
                self.armed = None
                return 200
            case 'Hold':
                return self._hold(order['step'])
            case 'go':
                return self._release(order['step'])
        return 400

    def _prepare(self, order):
        if order['Version'] <= self._newest_version or self.armed is not None:
            return 409
        self._newest_version = order['Version']
        self._prepared = None
        experts = [by_rank[self.rank] for by_rank in order['Map']]
        asyncio.get_running_loop().call_later(
            COPY_S, self._end_copy, order['Version'], experts
        )
        return 202

    def _end_copy(self, version, experts):
        if version == self._newest_version:
            self._prepared, self._prepared_experts = version, experts

    def _arm(self, version, step):
        if self.armed == (version, step):
            return 200
        if self._prepared != version or step <= self._group.step:
            return 409
        self.armed = (version, step)
        return 202

    def _hold(self, step):
        if self.held_step == step:
            return 200
        if self.held_step is not None or step <= self._group.step:
            return 409
        self.held_step = step
        self._group.record_hold(self)
        return 202

    def _release(self, step):
        if self.held_step != step:
            return 409
        self.held_step = None
        self._group.passed.set()
        return 200

    def begin_pass(self, step):
        """Switch to the armed map if it is for this pass."""
        if self.armed is not None and self.armed[1] == step:
            self.map_version = self.armed[0]
            self.experts = self._prepared_experts
            self.armed = self._prepared = None

    async def answer(self, line, headers, body, writer):
        """Answer a request of the agent, the leader or an entry."""
        path = line.split(' ')[1]
        if path.startswith('/savoryyoke/order'):
            status = self.apply_order(json.loads(body))
            writer.write(standins.build_answer(status))
        elif path.startswith('/savoryyoke/report'):
            self._write_json(writer, self.build_report())
        elif path.startswith('/savoryyoke/picked'):
            self._write_json(
                writer, self.build_picked(has_lists='Lists' in path)
            )
        else:
            await self._answer_stream(headers, writer)

    @staticmethod
    def _write_json(writer, document):
        writer.write(standins.build_answer(200, json.dumps(document).encode()))

    async def _answer_stream(self, headers, writer):
        """Write an event after each pass, from the one asked for."""
        request_id = headers.get('x-request-id', '')
        common_headers = [
            f'X-Request-Id: {request_id}',
            f'X-Instance: {self.name}',
        ]
        if headers.get('x-expect-instance', self.name) != self.name:
            writer.write(standins.build_answer(421, headers=common_headers))
            return
        if self._streams >= SLOTS:
            writer.write(
                standins.build_answer(
                    503, headers=[*common_headers, 'X-Not-Run: 1']
                )
            )
            return
        deadline_s = time.monotonic() + int(headers['x-deadline-ms']) / 1000
        lines = [
            'HTTP/1.1 200 OK',
            *common_headers,
            f'X-Server-Seal: {self.name}.{request_id}',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        ]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        self._streams += 1
        self._group.begin_stream()
        try:
            first = int(headers.get('last-event-id', 0)) + 1
            for number in range(first, EVENTS + 1):
                left_s = deadline_s - time.monotonic()
                await asyncio.wait_for(self._group.wait_for_pass(), left_s)
                event = f'id: {number}\ndata: token\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
        except TimeoutError as error:
            raise ConnectionError('the deadline has passed') from error
        finally:
            self._streams -= 1
            self._group.end_stream()


class Group:
    """Run the passes of a group and check its maps.

    ``on_hold(engine)`` is called when an engine has accepted a hold.
    """

    def __init__(self, *, hosts, record):
        self.ranks = len(hosts)
        self.step = 0
        self.map_breaches = 0
        self.on_hold = lambda engine: None
        self.passed = asyncio.Event()
        self._experts = 2 * self.ranks
        self._record = record
        self._streams = 0
        self._pass_ended = asyncio.Event()
        self._counts = [0] * (SETS * self._experts)
        self._choices = None
        self._counted_step = 0
        self.engines = [
            Engine(group=self, rank=rank, host=host)
            for rank, host in enumerate(hosts)
        ]
        self.shift_demand()

    @property
    def service(self):
        """Return the service of the configuration."""
        return {
            'Name': 'engines',
            'MaxConns': 418,
            'ColdPerS': 0.0,
            'Engine': {
                'Slots': SLOTS,
                'Sets': SETS,
                'Experts': self._experts,
                'Placements': PLACES,
                'Spare': SPARE,
                'ExpertMb': 780.0,
                'LinkMbps': 180000.0,
            },
        }

    async def start(self, port):
        """Let all engines listen on a port of their hosts."""
        for engine in self.engines:
            await self._serve(engine, port)

    @staticmethod
    async def _serve(engine, port):
        async def serve(reader, writer):
            await standins.serve_connection(reader, writer, engine.answer)

        await asyncio.start_server(serve, engine.host, port)

    def build_first_map(self, rank):
        """Return the experts of a rank in map 0, set by set."""
        experts = [
            expert
            for expert in range(self._experts)
            if expert * self.ranks // self._experts == rank
        ]
        return [experts] * SETS

    def record_hold(self, engine):
        """Record a hold that an engine has accepted."""
        self.on_hold(engine)

    def begin_stream(self):
        """Count a stream that runs; passes begin with the first one."""
        self._streams += 1
        self.passed.set()

    def end_stream(self):
        """Stop counting a stream."""
        self._streams -= 1

    async def wait_for_pass(self):
        """Return after the next pass."""
        await self._pass_ended.wait()

    def count_choices(self):
        """Return the choices of one rank since the start."""
        passes = self.step - self._counted_step
        return [
            count + passes * choices
            for count, choices in zip(self._counts, self._choices, strict=True)
        ]

    def shift_demand(self):
        """Let other experts be in demand."""
        if self._choices is not None:
            self._counts = self.count_choices()
        self._counted_step = self.step
        weights = [_USUAL_CHOICES] * 4 + [_POPULAR_CHOICES]
        self._choices = random.choices(weights, k=len(self._counts))

    async def run(self):
        """Run passes while there are streams."""
        while True:
            while not self._may_begin(self.step + 1):
                self.passed.clear()
                await self.passed.wait()
            self.step += 1
            for engine in self.engines:
                engine.begin_pass(self.step)
            self._check_maps()
            await asyncio.sleep(PASS_S)
            self._pass_ended.set()
            self._pass_ended = asyncio.Event()

    def _may_begin(self, step):
        return self._streams and not any(
            engine.held_step == step for engine in self.engines
        )

    def _check_maps(self):
        versions = {engine.map_version for engine in self.engines}
        if len(versions) > 1:
            self.map_breaches += 1
            self._record.write('maps differ in pass', self.step, versions)

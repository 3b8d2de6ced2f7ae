"""Test the exchange of heartbeats with real sockets."""

import contextlib
import random
import socket
import time
import types
import unittest
from unittest import mock

import anyio

from savoryyoke.peers import conf as peers_conf
from savoryyoke.published import models

from savoryyoke_edge import datagrams
from savoryyoke_edge import logs
from savoryyoke_gateway import dispatching
from savoryyoke_gateway import peering
from savoryyoke_gateway import suspects
from savoryyoke_wire import conf as wire_conf
from savoryyoke_wire import fleet

TIMEOUT_S = 30.0
# Above the size from which entries use batches.
LARGE_FLEET = peers_conf.DIRECT_FLEET_ENTRIES + 2


def build_peering(number, *, peer_port):
    """Return the peering of an entry with a loopback host of its own."""
    host = f'127.0.9.{number}'
    random_fraction = random.Random(number).random
    published_state = types.SimpleNamespace(
        as_of=models.Revision(number=1),
        configuration_version=1,
        expire=lambda: None,
    )
    return peering.Peering(
        settings=types.SimpleNamespace(
            vm_id=f'e{number}',
            peer_host=host,
            peer_port=peer_port,
            pace_port=peer_port + 1,
            caller_address=f'{host}:80',
            data_centre='a',
            seed_hosts=('127.0.9.1', '127.0.9.2'),
        ),
        published_state=published_state,
        dispatching=dispatching.Dispatching(
            own_data_centre='a',
            random_fraction=random_fraction,
            clock=time.monotonic,
            metrics=None,
        ),
        suspects=suspects.Suspects(metrics=None, clock=time.monotonic),
        get_entry_state=lambda: (True, False, {}),
        choose_read_pause_s=lambda: 0.1,
        restart_long_poll=lambda: False,
        random_fraction=random_fraction,
        clock=time.monotonic,
    )


def count_peers(entry):
    return len(entry.table.alive(now_s=time.monotonic()))


async def wait_until(is_true):
    with anyio.fail_after(TIMEOUT_S):
        while not is_true():
            await anyio.sleep(0.05)


class PeeringTests(unittest.TestCase):
    def setUp(self):
        self.events = []
        patcher = mock.patch.object(
            logs,
            'write_event',
            lambda name, **fields: self.events.append((name, fields)),
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        # A port that is free at one of the hosts is most likely free at all.
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(('127.0.9.1', 0))
            self.peer_port = probe.getsockname()[1]

    def refusals(self):
        return [
            fields
            for name, fields in self.events
            if name == 'heartbeat_refused'
        ]

    def test_large_fleet_exchanges_batches(self):
        """Guard against entries that hear nothing once batches begin."""
        entries = [
            build_peering(number, peer_port=self.peer_port)
            for number in range(1, LARGE_FLEET + 1)
        ]
        collected = []
        decode = fleet.decode_batch

        def decode_and_record(datagram):
            batch = decode(datagram)
            collected.append(batch.wants_collecting)
            return batch

        async def run():
            async with anyio.create_task_group() as group:
                for entry in entries:
                    group.start_soon(entry.run)
                await wait_until(
                    lambda: all(
                        count_peers(entry) == LARGE_FLEET - 1
                        for entry in entries
                    )
                )
                collected.clear()
                await wait_until(lambda: collected.count(False) > 50)
                self.assertIn(True, collected)
                await wait_until(
                    lambda: all(
                        count_peers(entry) == LARGE_FLEET - 1
                        for entry in entries
                    )
                )
                group.cancel_scope.cancel()

        with mock.patch.object(fleet, 'decode_batch', decode_and_record):
            anyio.run(run)
        self.assertEqual([], self.refusals())

    def test_damaged_heartbeat_costs_one_line_and_no_other_heartbeat(self):
        entry = build_peering(1, peer_port=self.peer_port)
        other = build_peering(2, peer_port=self.peer_port)
        packed = fleet.encode_heartbeat(
            other._build_heartbeat(wants_relay=False)
        )
        (batch,) = fleet.encode_batches(
            [b'no heartbeat', packed, b''], turn=1, wants_collecting=False
        )

        async def run():
            async with anyio.create_task_group() as group:
                group.start_soon(entry.run)
                await anyio.sleep(0.1)
                with contextlib.closing(
                    datagrams.DatagramSocket(
                        host='127.0.9.2',
                        port=self.peer_port,
                        limit_bytes=wire_conf.DATAGRAM_LIMIT_BYTES,
                        datagrams_per_read=1,
                        receive=lambda *_: None,
                        report_unsent=lambda *_: None,
                    )
                ) as sender:
                    address = ('127.0.9.1', self.peer_port)
                    sender.send(batch[:-1], address)
                    await wait_until(self.refusals)
                    self.assertEqual(0, count_peers(entry))
                    sender.send(batch, address)
                    await wait_until(lambda: len(self.refusals()) > 1)
                    self.assertEqual(1, count_peers(entry))
                group.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual(2, len(self.refusals()))

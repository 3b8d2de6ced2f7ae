"""Test the encoding of heartbeats and snapshots."""

import dataclasses
import math
import random
import unittest

from savoryyoke.peers import messages
from savoryyoke.placement import notices
from savoryyoke.placement import rate_limits
from savoryyoke.published import models
from savoryyoke.quarantine import evidence

from savoryyoke_wire import conf
from savoryyoke_wire import exceptions
from savoryyoke_wire import fleet

HEARTBEAT = messages.Heartbeat(
    sender_id='e1',
    sender_host='10.0.0.1',
    incarnation=2**63 - 1,
    sequence=7,
    caller_address='10.0.0.1:80',
    data_centre='dc-a',
    is_ready=True,
    is_leaving=False,
    published_as_of=models.Revision(epoch=3, number=29),
    configuration_version=14,
    can_relay=True,
    wants_relay=True,
    can_batch=True,
    in_flight=(messages.InFlight(target_id='t1', requests=3),),
    contact_hosts=('10.0.0.2', '10.0.0.3'),
    leaving_targets=(
        notices.LeavingTarget(target_id='t3', incarnation=2**41, age_s=1.5),
    ),
    rate_reports=(
        rate_limits.RateReport(
            target_id='t4',
            incarnation=2**41,
            limit_per_s=0.25,
            age_s=1.5,
            sent_count=2**31,
            demand_per_s=3.5,
        ),
        rate_limits.RateReport(
            target_id='t5',
            incarnation=1,
            limit_per_s=None,
            age_s=0.5,
            sent_count=0,
            demand_per_s=0.0,
        ),
    ),
    evidence_digest=2**64 - 1,
    crashes=(
        evidence.CrashReport(
            crash_id='t2/5',
            fingerprints=frozenset({b'one', b'two'}),
            prompt_parts=frozenset({b'part'}),
            cleared=frozenset({b'two'}),
            remaining_s=3599.9,
            release='v1+m@2',
        ),
    ),
)
REVISION = models.Revision(epoch=2, number=4)
ITEM = models.Item(key='a', revision=REVISION, value=b'\x00\xff')
SNAPSHOT = models.Snapshot(
    as_of=models.Revision(epoch=3, number=9),
    items=(ITEM,),
    holds=(
        models.Hold(key='a', remaining_s=math.inf, overruled=ITEM),
        models.Hold(key='b', remaining_s=1.5, overruled=None),
    ),
    lapses=(models.Lapse(key='c', remaining_s=0.5),),
)


class HeartbeatTests(unittest.TestCase):
    def test_round_trip(self):
        packed = fleet.encode_heartbeat(HEARTBEAT)
        self.assertEqual(HEARTBEAT, fleet.decode_heartbeat(packed))

    def test_truncated_heartbeat_is_refused_or_decoded(self):
        packed = fleet.encode_heartbeat(HEARTBEAT)
        for length in range(len(packed)):
            try:
                fleet.decode_heartbeat(packed[:length])
            except exceptions.WireError:
                continue

    def test_invalid_bytes_are_refused(self):
        for invalid_bytes in (
            b'',
            b'\x00',
            b'\xff' * 64,
            b'no heartbeat at all',
        ):
            with self.assertRaises(exceptions.WireError):
                fleet.decode_heartbeat(invalid_bytes)

    def test_oversized_datagram_is_refused(self):
        with self.assertRaises(exceptions.LimitExceeded):
            fleet.decode_heartbeat(b'\x00' * (conf.DATAGRAM_LIMIT_BYTES + 1))


class HeartbeatReaderTests(unittest.TestCase):
    """Guard against a change of a peer's state that is taken for none."""

    def setUp(self):
        self.reader = fleet.HeartbeatReader()

    def test_reads_the_same_as_a_whole_decoding(self):
        random_source = random.Random(1)
        sequence = 0
        for _ in range(500):
            sequence += random_source.choice((0, 1, 1, 1, 250, 70_000))
            heartbeat = dataclasses.replace(
                HEARTBEAT,
                sender_id=random_source.choice(('e1', 'e2')),
                incarnation=random_source.choice(
                    (0, 1, 255, 2**62 + 3, 2**64 - 1)
                ),
                sequence=sequence,
                is_ready=random_source.random() < 0.9,
                in_flight=random_source.choice((HEARTBEAT.in_flight, ())),
                contact_hosts=random_source.choice(
                    (HEARTBEAT.contact_hosts, ('10.0.0.4', '10.0.0.5'), ())
                ),
                published_as_of=models.Revision(
                    number=random_source.randrange(2)
                ),
            )
            packed = fleet.encode_heartbeat(heartbeat)
            self.assertEqual(heartbeat, self.reader.read(packed))

    def test_repetition_is_not_decoded_again(self):
        first = self.reader.read(fleet.encode_heartbeat(HEARTBEAT))
        second = self.reader.read(
            fleet.encode_heartbeat(dataclasses.replace(HEARTBEAT, sequence=8))
        )
        self.assertIs(first.contact_hosts, second.contact_hosts)

    def test_damaged_repetition_is_refused_or_decoded(self):
        packed = fleet.encode_heartbeat(HEARTBEAT)
        self.reader.read(packed)
        for position in range(len(packed)):
            for damaged in (
                packed[:position],
                packed[:position] + b'\xff' + packed[position + 1 :],
            ):
                try:
                    expected = fleet.decode_heartbeat(damaged)
                except exceptions.WireError:
                    with self.assertRaises(exceptions.WireError):
                        self.reader.read(damaged)
                else:
                    # Equal by their text: damaged ages may be NaN.
                    self.assertEqual(
                        repr(expected), repr(self.reader.read(damaged))
                    )

    def test_number_of_stored_heartbeats_is_bounded(self):
        for incarnation in range(1, 3 * conf.REPEATED_HEARTBEATS_LIMIT):
            self.reader.read(
                fleet.encode_heartbeat(
                    dataclasses.replace(HEARTBEAT, incarnation=incarnation)
                )
            )
            self.assertLessEqual(
                len(self.reader), conf.REPEATED_HEARTBEATS_LIMIT
            )


class BatchTests(unittest.TestCase):
    def encode(self, heartbeats, *, turn=2**32 - 1, wants_collecting=True):
        return fleet.encode_batches(
            heartbeats, turn=turn, wants_collecting=wants_collecting
        )

    def test_round_trip(self):
        packed = fleet.encode_heartbeat(HEARTBEAT)
        (datagram,) = self.encode([packed, b'x'])
        self.assertTrue(fleet.is_batch(datagram))
        self.assertEqual(
            fleet.Batch(
                turn=2**32 - 1,
                wants_collecting=True,
                heartbeats=(packed, b'x'),
            ),
            fleet.decode_batch(datagram),
        )

    def test_heartbeat_is_no_batch(self):
        """Guard against old builds whose heartbeats are read as batches."""
        for incarnation in (0, 1, 2**64 - 1):
            heartbeat = dataclasses.replace(HEARTBEAT, incarnation=incarnation)
            packed = fleet.encode_heartbeat(heartbeat)
            self.assertFalse(fleet.is_batch(packed))

    def test_old_build_refuses_a_batch(self):
        (datagram,) = self.encode([fleet.encode_heartbeat(HEARTBEAT)])
        with self.assertRaises(exceptions.WireError):
            fleet.decode_heartbeat(datagram)

    def test_heartbeats_are_spread_over_datagrams(self):
        heartbeats = [bytes([number]) * 3000 for number in range(9)]
        heartbeats += [b'x'] * (2 * conf.BATCH_ITEMS_LIMIT)
        datagrams = self.encode(heartbeats)
        read = []
        for datagram in datagrams:
            self.assertLessEqual(len(datagram), conf.DATAGRAM_LIMIT_BYTES)
            read += fleet.decode_batch(datagram).heartbeats
        self.assertEqual(heartbeats, read)

    def test_heartbeat_of_the_largest_size(self):
        largest = next(
            size
            for size in range(conf.DATAGRAM_LIMIT_BYTES, 0, -1)
            if fleet.fits_batch(b'x' * size)
        )
        (datagram,) = self.encode([b'x' * largest, b'x' * (largest + 1)])
        self.assertEqual(conf.DATAGRAM_LIMIT_BYTES, len(datagram))
        self.assertEqual([], self.encode([]))

    def test_damaged_batches_are_refused(self):
        (datagram,) = self.encode([b'abc', b'def'])
        whole_lengths = {len(datagram), len(datagram) - 5}
        for length in range(len(datagram)):
            if length not in whole_lengths:
                with self.assertRaises(exceptions.WireError):
                    fleet.decode_batch(datagram[:length])
        (header_and_one,) = self.encode([b''])
        for invalid in (
            datagram + b'x',
            header_and_one + b'\0\0' * conf.BATCH_ITEMS_LIMIT,
            datagram.ljust(conf.DATAGRAM_LIMIT_BYTES + 1, b'\0'),
        ):
            with self.assertRaises(exceptions.WireError):
                fleet.decode_batch(invalid)


class SnapshotTests(unittest.TestCase):
    def test_round_trip(self):
        packed = fleet.encode_snapshot(SNAPSHOT)
        self.assertEqual(SNAPSHOT, fleet.decode_snapshot(packed))

    def test_invalid_bytes_are_refused(self):
        with self.assertRaises(exceptions.WireError):
            fleet.decode_snapshot(b'\xff' * 64)

"""Test the encoding of heartbeats and snapshots."""

import math
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


class SnapshotTests(unittest.TestCase):
    def test_round_trip(self):
        packed = fleet.encode_snapshot(SNAPSHOT)
        self.assertEqual(SNAPSHOT, fleet.decode_snapshot(packed))

    def test_invalid_bytes_are_refused(self):
        with self.assertRaises(exceptions.WireError):
            fleet.decode_snapshot(b'\xff' * 64)

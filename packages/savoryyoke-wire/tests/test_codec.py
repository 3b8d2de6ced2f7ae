"""Test the codec, the frames and the versions."""

import pathlib
import tempfile
import typing
import unittest

import capnp
import hypothesis
from hypothesis import strategies

from savoryyoke_wire import codec
from savoryyoke_wire import conf
from savoryyoke_wire import exceptions
from savoryyoke_wire import frames
from savoryyoke_wire import messages
from savoryyoke_wire import versions

EXAMPLES = 300
_LAST_MEMBER = 'loanAnswer @20 :LoanAnswer;'
FIXED = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=EXAMPLES
)

CALL = messages.Call(
    call_id=7,
    service='claims',
    operation='pay',
    team='fund-a',
    team_weight=2.5,
    priority=-1,
    remaining_ms=1500,
    idempotent=False,
    method='POST',
    path='/v1/payments',
    headers=(messages.Header(name='traceparent', value='00-ab'),),
    body=b'{"amount": 1}',
    key='key',
    fingerprint=b'\x00\x01',
)
HELLO = messages.Hello(
    version_low=1,
    version_high=2,
    process_id='t1',
    incarnation=2**63,
    data_centre='a',
)


class CodecTests(unittest.TestCase):
    """Test the encoding and decoding of messages."""

    def test_round_trip_keeps_every_field(self):
        load = messages.Load(
            sent_ms=2**40,
            running=1,
            queued=2,
            limit=4,
            wait_ms=5,
            cold=True,
            draining=True,
            kv_free=0.25,
            stamps=(
                messages.Stamp(
                    target_id='t2',
                    incarnation=2**64 - 1,
                    stamp_ms=2**40,
                    window_ms=30_000,
                ),
            ),
        )
        report = messages.CrashReport(
            crash_id='t1-1',
            fingerprints=b'x' * 16,
            cleared=b'x' * 8,
            remaining_ms=3_600_000,
        )
        refusal = messages.Refusal(
            call_id=1,
            outcome=messages.Outcome.MAY_HAVE_RUN,
            reason='x',
            crash_reports=(report,) * conf.CRASH_REPORTS_LIMIT,
        )
        for message in (CALL, HELLO, load, refusal):
            with self.subTest(message=message):
                self.assertEqual(message, codec.decode(codec.encode(message)))

    def test_every_schema_member_has_a_message_class(self):
        members = {
            message_class.__name__[0].lower() + message_class.__name__[1:]
            for message_class in typing.get_args(messages.Message)
        }
        self.assertEqual(members, set(codec.get_union_members()))

    @FIXED
    @hypothesis.given(strategies.binary(max_size=400))
    def test_garbage_is_refused_with_a_typed_error(self, garbage):
        try:
            codec.decode(garbage)
        except exceptions.WireError:
            return

    @FIXED
    @hypothesis.given(strategies.data())
    def test_damaged_message_is_refused_or_typed(self, data):
        packed = bytearray(codec.encode(CALL))
        position = data.draw(strategies.integers(0, len(packed) - 1))
        packed[position] ^= data.draw(strategies.integers(1, 255))
        try:
            message = codec.decode(bytes(packed))
        except exceptions.WireError:
            return
        if message is not None:
            self.assertIsInstance(message, messages.Message)

    def test_message_added_by_a_later_version_is_ignored(self):
        current = pathlib.Path(codec.__file__).with_name('protocol.capnp')
        text = current.read_text()
        self.assertIn(_LAST_MEMBER, text)
        later = text.replace(
            _LAST_MEMBER, _LAST_MEMBER + ' added @21 :RecordTransfer;'
        ).replace('@0xd6a1f0b3c5e79284', '@0xd6a1f0b3c5e79285')
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, 'later.capnp')
            path.write_text(later)
            schema = capnp.load(str(path), imports=[])
        envelope = schema.Envelope.new_message()
        envelope.init('added').data = b'ab'
        self.assertIsNone(codec.decode(envelope.to_bytes_packed()))

    def test_body_over_the_frame_limit_is_refused(self):
        chunk = messages.Chunk(
            call_id=1,
            index=0,
            count=1,
            data=b'x' * (conf.FRAME_LIMIT_BYTES + 1),
        )
        with self.assertRaises(exceptions.LimitExceeded):
            codec.encode(chunk)


class FrameSplitterTests(unittest.TestCase):
    """Test the splitting of a byte stream."""

    @FIXED
    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=50), max_size=8),
        strategies.integers(1, 7),
    )
    def test_any_cut_of_the_stream_gives_the_same_frames(self, bodies, step):
        stream = conf.PREFACE + b''.join(
            frames.build_frame(body) for body in bodies
        )
        splitter = frames.FrameSplitter()
        found = []
        for start in range(0, len(stream), step):
            found.extend(splitter.feed(stream[start : start + step]))
        self.assertEqual(bodies, found)

    def test_stream_without_preface_is_refused_at_its_first_byte(self):
        with self.assertRaises(exceptions.MalformedMessage):
            frames.FrameSplitter().feed(b'GET / HTTP/1.1\r\n')

    def test_announced_length_over_the_limit_is_refused(self):
        splitter = frames.FrameSplitter(limit_bytes=10)
        with self.assertRaises(exceptions.LimitExceeded):
            splitter.feed(conf.PREFACE + (11).to_bytes(4, 'big'))


class VersionTests(unittest.TestCase):
    """Test the negotiation of a version."""

    def test_neighbouring_versions_agree_and_distant_ones_do_not(self):
        cases = {(1, 1): 1, (1, 2): 1, (0, 1): 1}
        for (low, high), expected in cases.items():
            hello = messages.Hello(
                version_low=low,
                version_high=high,
                process_id='t',
                incarnation=1,
                data_centre='',
            )
            with self.subTest(low=low, high=high):
                self.assertEqual(expected, versions.choose_version(hello))
        distant = messages.Hello(
            version_low=2,
            version_high=3,
            process_id='t',
            incarnation=1,
            data_centre='',
        )
        with self.assertRaises(exceptions.VersionMismatch):
            versions.choose_version(distant)

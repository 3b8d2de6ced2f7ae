"""Transfer snapshots of the published values between processes over TCP."""

import anyio

from savoryyoke_edge import logs
from savoryyoke_wire import conf
from savoryyoke_wire import exceptions
from savoryyoke_wire import fleet
from savoryyoke_wire import frames

# A snapshot of about 30 KB takes 30 ms on the slowest link.
SNAPSHOT_TIMEOUT_S = 1.0
_RECEIVE_BYTES = 64 * 1024


class SnapshotUnavailable(Exception):
    """Report that a snapshot could not be fetched."""


async def send_snapshot(stream, snapshot):
    """Send a ``published.models.Snapshot`` and close the stream."""
    payload = fleet.encode_snapshot(snapshot)
    try:
        with anyio.move_on_after(SNAPSHOT_TIMEOUT_S):
            async with stream:
                await stream.send(conf.PREFACE + frames.build_frame(payload))
    except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
        logs.write_event(
            'snapshot_not_sent', level='warning', reason=type(error).__name__
        )


async def fetch_snapshot(host, port):
    """Return the ``published.models.Snapshot`` that a process sends.

    Raise ``SnapshotUnavailable`` if none arrives within
    ``SNAPSHOT_TIMEOUT_S``.
    """
    began_s = anyio.current_time()
    try:
        with anyio.fail_after(SNAPSHOT_TIMEOUT_S):
            payload = await _fetch(host, port)
        snapshot = fleet.decode_snapshot(payload)
    except (
        TimeoutError,
        OSError,
        anyio.BrokenResourceError,
        exceptions.WireError,
    ) as error:
        raise SnapshotUnavailable(
            str(error) or type(error).__name__
        ) from error
    logs.write_event(
        'copy_received',
        host=host,
        as_of=snapshot.as_of,
        bytes=len(payload),
        took_s=anyio.current_time() - began_s,
    )
    return snapshot


async def _fetch(host, port):
    splitter = frames.FrameSplitter(limit_bytes=conf.SNAPSHOT_LIMIT_BYTES)
    async with await anyio.connect_tcp(host, port) as stream:
        while True:
            try:
                data = await stream.receive(_RECEIVE_BYTES)
            except anyio.EndOfStream as error:
                raise SnapshotUnavailable(
                    'the connection ended before the snapshot was complete'
                ) from error
            received = splitter.feed(data)
            if received:
                return received[0]

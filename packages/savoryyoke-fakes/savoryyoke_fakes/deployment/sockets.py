"""Handle sockets of stand-ins."""

import contextlib
import socket
import struct

import anyio
import anyio.abc


def find_ports(host, count):
    """Return ports of ``host`` that the kernel has free."""
    with contextlib.ExitStack() as stack:
        opened = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in opened:
            one.bind((host, 0))
        return [one.getsockname()[1] for one in opened]


async def reset(stream):
    """Close a connection with a reset, unless it is closed already."""
    try:
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        # A zero linger time turns the close into a reset.
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    except (OSError, anyio.ClosedResourceError):
        return
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)

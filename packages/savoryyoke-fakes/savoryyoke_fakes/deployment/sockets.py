"""Find free ports and reset connections."""

import contextlib
import socket
import struct

import anyio
import anyio.abc


def find_ports(host, count):
    """Return ``count`` different TCP ports of ``host`` that are free now."""
    with contextlib.ExitStack() as stack:
        opened_sockets = [
            stack.enter_context(socket.socket()) for _ in range(count)
        ]
        for opened_socket in opened_sockets:
            opened_socket.bind((host, 0))
        return [
            opened_socket.getsockname()[1] for opened_socket in opened_sockets
        ]


async def reset(stream):
    """Reset a TCP connection; do nothing if it is already closed."""
    try:
        raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        # With a linger time of zero, closing the socket sends a reset.
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    except (OSError, anyio.ClosedResourceError):
        return
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)

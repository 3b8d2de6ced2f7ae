"""Bind a UDP socket and a TCP listener at one address."""

import anyio

from savoryyoke_edge.control import conf


async def bind(address):
    """Return a UDP socket and a TCP listener on the same port.

    With port 0, take a port from the kernel that is free for both protocols.
    Raise ``OSError`` if the address is in use or no such port is found
    within ``conf.BIND_ATTEMPTS`` attempts.
    """
    for _ in range(conf.BIND_ATTEMPTS):
        socket = await anyio.create_udp_socket(
            local_host=address.host, local_port=address.port
        )
        host, port = socket.extra(anyio.abc.SocketAttribute.local_address)
        try:
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=port
            )
        except OSError:
            await socket.aclose()
            if address.port:
                raise
            continue
        return socket, listener
    raise OSError(f'no port at {address.host} is free for UDP and TCP')

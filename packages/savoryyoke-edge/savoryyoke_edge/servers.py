"""Serve ASGI applications with uvicorn inside an anyio task group."""

import asyncio
import contextlib
import math
import socket

import uvicorn
from uvicorn.protocols.http import httptools_impl

IDLE_TIMEOUT_S = 30
BACKLOG_CONNECTIONS = 512
# Bounds the descriptors that are in use before connections are counted.
ACCEPTED_AT_ONCE = 32


class HeaderTimeoutProtocol(httptools_impl.HttpToolsProtocol):
    """Close connections whose request headers do not arrive in time.

    This limits the connections that slow or half-open callers can keep
    open. The application limits the time for the request body.
    """

    header_timeout_s = 5.0
    _header_timer = None

    def connection_made(self, transport):
        """Start the header timer of the first request."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._header_timer = loop.call_later(
            self.header_timeout_s, transport.close
        )

    def connection_lost(self, exc):
        """Stop the timer when the connection ends."""
        self._stop_timer()
        super().connection_lost(exc)

    def on_message_begin(self):
        """Start the header timer of a later request on the connection."""
        if self._header_timer is None:
            self._header_timer = asyncio.get_running_loop().call_later(
                self.header_timeout_s, self.transport.close
            )
        super().on_message_begin()

    def on_headers_complete(self):
        """Stop the timer because the headers are complete."""
        self._stop_timer()
        super().on_headers_complete()

    def _stop_timer(self):
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


class Server(uvicorn.Server):
    """Run uvicorn without its signal handlers; the daemon has its own."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Install no signal handlers."""
        yield

    async def startup(self, sockets=None):
        """Accept few connections at once, and let more of them wait.

        asyncio uses one number for both.
        """
        await super().startup(sockets=sockets)
        for listener in sockets or ():
            listener.listen(BACKLOG_CONNECTIONS)


def bind(address):
    """Return a listening, non-blocking TCP socket bound to ``address``."""
    # asyncio sets TCP_NODELAY only on sockets with an explicit protocol.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.host, address.port))
    # Clients may connect as soon as the address has been logged.
    listener.listen(BACKLOG_CONNECTIONS)
    listener.setblocking(False)
    return listener


def build_server(
    application,
    *,
    header_timeout_s=None,
    idle_timeout_s=IDLE_TIMEOUT_S,
    connection_limit=None,
    protocol_class=HeaderTimeoutProtocol,
):
    """Return a server for the ASGI ``application``.

    ``header_timeout_s`` and ``idle_timeout_s`` close slow and idle
    connections; uvicorn answers 503 above ``connection_limit`` connections.
    ``protocol_class`` is ``HeaderTimeoutProtocol`` or a subclass of it, whose
    own header timeout applies if none is given.
    """
    protocol = protocol_class
    if header_timeout_s is not None:
        protocol = type(
            'TimedProtocol',
            (protocol_class,),
            {'header_timeout_s': header_timeout_s},
        )
    config = uvicorn.Config(
        application,
        http=protocol,
        ws='none',
        lifespan='off',
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        timeout_keep_alive=math.ceil(idle_timeout_s),
        limit_concurrency=connection_limit,
        backlog=ACCEPTED_AT_ONCE,
    )
    return Server(config)

"""Send and receive datagrams at little processor time.

The UDP socket of ``anyio`` yields to the event loop twice for each datagram,
reserves 256 KB for it, and passes received datagrams to a waiting task. Here
the event loop calls the recipient when the socket becomes readable.
"""

import asyncio
import contextlib
import socket

import anyio

# The largest datagram of UDP over IPv4 is smaller.
_RECEIVE_BYTES = 64 * 1024


@contextlib.asynccontextmanager
async def open_socket(*, host, port, receive):
    """Open a ``DatagramSocket`` on an IPv4 address, and close it at the end.

    ``receive(data, host)`` is called for each datagram and must not block.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as raw_socket:
        raw_socket.setblocking(False)
        raw_socket.bind((host, port))
        opened = DatagramSocket(raw_socket=raw_socket, receive=receive)
        try:
            yield opened
        finally:
            opened.close()


class DatagramSocket:
    """Exchange datagrams through a bound socket that does not block."""

    def __init__(self, *, raw_socket, receive):
        self._socket = raw_socket
        self._receive = receive
        self._loop = asyncio.get_running_loop()
        self._buffer = memoryview(bytearray(_RECEIVE_BYTES))
        self._failed = self._loop.create_future()
        self._writable = None
        self._is_closed = False
        self._loop.add_reader(raw_socket, self._read)

    async def sendto(self, data, host, port):
        """Send a datagram; wait only while the kernel accepts none.

        A datagram that the kernel refuses with an error is dropped, as on the
        network. Raise ``anyio.ClosedResourceError`` if the socket is closed.
        """
        while True:
            if self._is_closed:
                raise anyio.ClosedResourceError
            try:
                self._socket.sendto(data, (host, port))
                return
            except BlockingIOError:
                await self._wait_writable()
            except OSError:
                return

    async def wait_failed(self):
        """Wait until ``receive`` raises an error, and raise it."""
        await self._failed

    def close(self):
        """Stop to receive, and release the tasks that wait to send."""
        self._is_closed = True
        self._loop.remove_reader(self._socket)
        self._release_senders()

    def _read(self):
        try:
            size, (host, _) = self._socket.recvfrom_into(self._buffer)
        except OSError:
            # Nothing to read, or the error of an earlier datagram.
            return
        try:
            self._receive(bytes(self._buffer[:size]), host)
        except Exception as error:
            self.close()
            if not self._failed.done():
                self._failed.set_exception(error)

    async def _wait_writable(self):
        if self._writable is None:
            self._writable = asyncio.Event()
            self._loop.add_writer(self._socket, self._release_senders)
        await self._writable.wait()

    def _release_senders(self):
        if self._writable is not None:
            self._loop.remove_writer(self._socket)
            self._writable.set()
            self._writable = None

"""Exchange datagrams at little processor time.

The UDP socket of ``anyio`` yields to the event loop twice for each datagram,
reserves 256 KB for it, and passes received datagrams to a waiting task. Here
the event loop calls the recipient when the socket becomes readable.
"""

import asyncio
import collections
import socket

import anyio

# Datagrams of ``send`` that wait until the socket's buffer has room. Each has
# up to 8 KB.
UNSENT_DATAGRAMS_LIMIT = 128


class DatagramSocket:
    """Own a UDP socket that is read in a callback of the event loop.

    ``receive(datagram, host)`` is called for each datagram and must not
    block. A datagram above ``limit_bytes`` is truncated to one more byte. Up
    to ``datagrams_per_read`` are read before other tasks run.
    ``report_unsent(host, error)`` is called for each datagram that can't be
    sent.
    """

    def __init__(
        self,
        *,
        host,
        port,
        limit_bytes,
        datagrams_per_read,
        receive,
        report_unsent,
    ):
        self._receive_bytes = limit_bytes + 1
        self._datagrams_per_read = datagrams_per_read
        self._receive = receive
        self._report_unsent = report_unsent
        self._unsent = collections.deque()
        self._writable = None
        self._is_closed = False
        self._loop = asyncio.get_running_loop()
        self._failure = self._loop.create_future()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.bind((host, port))
            self._loop.add_reader(self._socket, self._read)
        except BaseException:
            self._socket.close()
            raise
        self.sent_count = 0
        self.received_count = 0

    @property
    def address(self):
        """Return the host and the port of the socket."""
        return self._socket.getsockname()

    def close(self):
        """Close the socket. Datagrams that wait to be sent are lost."""
        if self._is_closed:
            return
        self._is_closed = True
        self._unsent.clear()
        self._loop.remove_reader(self._socket)
        self._loop.remove_writer(self._socket)
        self._release_senders()
        self._socket.close()
        self._failure.cancel()

    async def wait_for_failure(self):
        """Wait until reading fails and raise the error."""
        await self._failure

    def send(self, datagram, address):
        """Send a datagram, or keep it until the socket takes it.

        At most ``UNSENT_DATAGRAMS_LIMIT`` are kept; others are lost.
        """
        if self._unsent or not self._try_to_send(datagram, address):
            self._keep(datagram, address)

    async def send_when_writable(self, datagram, address):
        """Send a datagram; wait only while the socket takes none.

        Raise ``anyio.ClosedResourceError`` if the socket is closed.
        """
        while True:
            if self._is_closed:
                raise anyio.ClosedResourceError
            if not self._unsent and self._try_to_send(datagram, address):
                return
            await self._wait_until_writable()

    def call_later(self, delay_s, callback):
        """Call ``callback()`` after a delay, unless the socket is closed.

        Its errors end the exchange like those of ``receive``.
        """

        def call():
            try:
                if not self._failure.done():
                    callback()
            except Exception as error:
                self._fail(error)

        return self._loop.call_later(delay_s, call)

    def _try_to_send(self, datagram, address):
        """Send a datagram; return false if the socket's buffer is full."""
        try:
            self._socket.sendto(datagram, address)
        except BlockingIOError:
            return False
        except OSError as error:
            self._report_unsent(address[0], error)
        else:
            self.sent_count += 1
        return True

    def _keep(self, datagram, address):
        if len(self._unsent) >= UNSENT_DATAGRAMS_LIMIT:
            self._report_unsent(address[0], 'too many datagrams wait')
            return
        if not self._unsent:
            self._loop.add_writer(self._socket, self._write)
        self._unsent.append((datagram, address))

    async def _wait_until_writable(self):
        if self._writable is None:
            self._writable = asyncio.Event()
            self._loop.add_writer(self._socket, self._write)
        await self._writable.wait()

    def _write(self):
        while self._unsent:
            if not self._try_to_send(*self._unsent[0]):
                return
            self._unsent.popleft()
        self._loop.remove_writer(self._socket)
        self._release_senders()

    def _release_senders(self):
        if self._writable is not None:
            self._writable.set()
            self._writable = None

    def _read(self):
        try:
            for _ in range(self._datagrams_per_read):
                try:
                    datagram, (host, _) = self._socket.recvfrom(
                        self._receive_bytes
                    )
                except BlockingIOError:
                    return
                self.received_count += 1
                self._receive(datagram, host)
        except Exception as error:
            self._fail(error)

    def _fail(self, error):
        if self._is_closed:
            # The recipient has closed the socket that is being read.
            return
        self._loop.remove_reader(self._socket)
        if not self._failure.done():
            self._failure.set_exception(error)

"""Exchange datagrams without a task switch for each of them."""

import asyncio
import collections
import socket

from savoryyoke_gateway import conf
from savoryyoke_wire import conf as wire_conf


class DatagramSocket:
    """Own a UDP socket that is read in a callback of the event loop.

    ``receive(datagram, host)`` is called for each datagram. A datagram above
    ``DATAGRAM_LIMIT_BYTES`` is truncated to one more byte. ``report_unsent``
    is called with a host and the error for each datagram that can't be sent.
    """

    def __init__(self, *, host, port, receive, report_unsent):
        self._receive = receive
        self._report_unsent = report_unsent
        self._unsent = collections.deque()
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
        self._loop.remove_reader(self._socket)
        self._loop.remove_writer(self._socket)
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
        if len(self._unsent) >= conf.UNSENT_DATAGRAMS_LIMIT:
            self._report_unsent(address[0], 'too many datagrams wait')
            return
        if not self._unsent:
            self._loop.add_writer(self._socket, self._write)
        self._unsent.append((datagram, address))

    def _write(self):
        while self._unsent:
            if not self._try_to_send(*self._unsent[0]):
                return
            self._unsent.popleft()
        self._loop.remove_writer(self._socket)

    def _read(self):
        try:
            for _ in range(conf.DATAGRAMS_PER_READ):
                datagram, (host, _) = self._socket.recvfrom(
                    wire_conf.DATAGRAM_LIMIT_BYTES + 1
                )
                self.received_count += 1
                self._receive(datagram, host)
        except BlockingIOError:
            return
        except Exception as error:
            self._fail(error)

    def _fail(self, error):
        self._loop.remove_reader(self._socket)
        if not self._failure.done():
            self._failure.set_exception(error)

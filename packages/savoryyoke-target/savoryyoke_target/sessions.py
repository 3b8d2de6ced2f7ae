"""Send answers over the connection of one entry, with flow control."""

import anyio

from savoryyoke_edge import exceptions as edge_exceptions
from savoryyoke_wire import messages


class CreditWindow:
    """Limit the bytes of one answer that the entry has not yet consumed."""

    def __init__(self, *, credit_bytes):
        self._credit_bytes = credit_bytes
        self._credit_added = anyio.Event()

    def grow(self, credit_bytes):
        """Add credit that the entry has granted."""
        self._credit_bytes += credit_bytes
        self._credit_added.set()

    async def spend(self, size_bytes):
        """Wait for positive credit, then subtract ``size_bytes``.

        The credit may become negative.
        """
        while self._credit_bytes <= 0:
            self._credit_added = anyio.Event()
            await self._credit_added.wait()
        self._credit_bytes -= size_bytes


class Session:
    """Hold one entry's connection and its calls' flow-control windows."""

    def __init__(self, *, number, connection):
        self.number = number
        self._connection = connection
        self._windows_by_call_id = {}

    @property
    def entry_id(self):
        """Return the identifier of the connected entry."""
        return self._connection.peer.process_id

    def identify(self, call_id):
        """Return an identifier of a call that is unique in this process."""
        return f'{self.number}/{call_id}'

    def open_window(self, call):
        """Create the flow-control window of a call."""
        window = CreditWindow(credit_bytes=call.credit_bytes)
        self._windows_by_call_id[call.call_id] = window
        return window

    def grow_window(self, credit):
        """Add credit to a call's window, if the call has not ended."""
        window = self._windows_by_call_id.get(credit.call_id)
        if window is not None:
            window.grow(credit.bytes)

    def close_window(self, call_id):
        """Remove the window of a call that has ended."""
        self._windows_by_call_id.pop(call_id, None)

    def send(self, message):
        """Send ``message`` unless the entry has disconnected."""
        try:
            self._connection.send(message)
        except edge_exceptions.ConnectionLost:
            return

    def send_answer(self, call_id, *, status, headers, body, replayed):
        """Send a complete answer: head, one chunk and end."""
        head = messages.Head(
            call_id=call_id, status=status, headers=to_headers(headers)
        )
        self.send(head)
        self.send(messages.Chunk(call_id=call_id, index=0, count=1, data=body))
        self.send(messages.End(call_id=call_id, total=1, replayed=replayed))


def to_headers(pairs):
    """Return name and value pairs as protocol headers."""
    return tuple(
        messages.Header(name=name, value=value) for name, value in pairs
    )

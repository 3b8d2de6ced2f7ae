"""Send requests to other processes, and answer theirs, over TCP."""

import itertools

import anyio

from savoryyoke_edge import connections
from savoryyoke_edge.control import conf
from savoryyoke_edge import exceptions
from savoryyoke_edge import logs
from savoryyoke_edge.settings import addresses
from savoryyoke_wire import messages


class Exchange:
    """Own the TCP listener of the control address and its connections.

    ``on_request(request, reply)`` is called for each request of a peer;
    ``reply(message)`` sends one message back on the same connection.
    """

    def __init__(self, *, listener, hello, on_request):
        self._listener = listener
        self._hello = hello
        self._on_request = on_request
        self._request_ids = itertools.count(1)

    async def run(self):
        """Accept and serve connections of peers until cancelled."""
        await self._listener.serve(self._serve_connection)

    async def _serve_connection(self, stream):
        connection = connections.Connection(stream=stream, hello=self._hello)
        try:
            early_messages = await connection.open()
        except exceptions.ConnectionLost as error:
            logs.write_event(
                'connection_refused', level='warning', reason=str(error)
            )
            await anyio.aclose_forcefully(stream)
            return

        def reply(message):
            try:
                connection.send(message)
            except exceptions.ConnectionLost:
                return

        await connection.run(
            lambda message: self._on_request(message, reply), early_messages
        )

    async def send_request(self, address, build_request):
        """Return the answer of the peer at ``address`` to one request.

        ``address`` is ``host:port`` as text. ``build_request(request_id)``
        returns the request message. Raise ``ConnectionLost`` if the address
        is invalid or no answer arrives in time.
        """
        request = build_request(next(self._request_ids))
        try:
            connection, early_messages = await connections.connect(
                address=addresses.parse_peer_address(address),
                hello=self._hello,
                timeout_s=conf.EXCHANGE_CONNECT_TIMEOUT_S,
            )
        except ValueError as error:
            raise exceptions.ConnectionLost(str(error)) from error
        return await _await_answer(connection, early_messages, request)


async def _await_answer(connection, early_messages, request):
    answers = []

    def handle_message(message):
        if getattr(message, 'request_id', None) == request.request_id:
            answers.append(message)
            connection.close()

    connection.send(request)
    with anyio.move_on_after(conf.EXCHANGE_TIMEOUT_S):
        await connection.run(handle_message, early_messages)
    if not answers:
        raise exceptions.ConnectionLost('no answer in time')
    return answers[0]


def is_state_answer(answer):
    """Return whether ``answer`` is a ``StateAnswer``."""
    return isinstance(answer, messages.StateAnswer)


def is_document(answer):
    """Return whether ``answer`` is a ``Document``."""
    return isinstance(answer, messages.Document)

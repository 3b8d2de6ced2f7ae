"""Ask other processes for documents, and answer theirs, over TCP."""

import itertools

import anyio

from savoryyoke_edge import connections
from savoryyoke_edge.control import conf
from savoryyoke_edge import exceptions
from savoryyoke_edge import logs
from savoryyoke_edge.settings import addresses
from savoryyoke_wire import messages


class Exchange:
    """Own the control listener and the connections on it.

    ``on_request(request, reply)`` gets each request of a peer, with a
    function that sends one message back.
    """

    def __init__(self, *, listener, hello, on_request):
        self._listener = listener
        self._hello = hello
        self._on_request = on_request
        self._numbers = itertools.count(1)

    async def run(self):
        """Serve peers until cancelled."""
        await self._listener.serve(self._serve)

    async def _serve(self, stream):
        connection = connections.Connection(stream=stream, hello=self._hello)
        try:
            early = await connection.open()
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
            lambda message: self._on_request(message, reply), early
        )

    async def ask(self, address, build_request):
        """Return a peer's answer to one request.

        ``build_request(request_id)`` returns the message. Raise
        ``ConnectionLost`` where there is no answer in time.
        """
        request = build_request(next(self._numbers))
        try:
            connection, early = await connections.connect(
                address=addresses.parse_peer_address(address),
                hello=self._hello,
                timeout_s=conf.EXCHANGE_CONNECT_TIMEOUT_S,
            )
        except ValueError as error:
            raise exceptions.ConnectionLost(str(error)) from error
        return await _await_answer(connection, early, request)


async def _await_answer(connection, early, request):
    answers = []

    def take(message):
        if getattr(message, 'request_id', None) == request.request_id:
            answers.append(message)
            connection.close()

    connection.send(request)
    with anyio.move_on_after(conf.EXCHANGE_TIMEOUT_S):
        await connection.run(take, early)
    if not answers:
        raise exceptions.ConnectionLost('no answer')
    return answers[0]


def is_state(answer):
    """Tell whether an answer is a process's state."""
    return isinstance(answer, messages.StateAnswer)


def is_document(answer):
    """Tell whether an answer is a document."""
    return isinstance(answer, messages.Document)

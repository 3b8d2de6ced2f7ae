"""Receive callers' requests over ASGI."""

import anyio

from savoryyoke_edge import logs
from savoryyoke_gateway import callers
from savoryyoke_gateway import conf
from savoryyoke_gateway import exceptions


class ForwardingApplication:
    """Read each request completely and forward it.

    A request is cancelled when its caller disconnects. ``stopping``
    determines whether callers are asked to use another connection and
    whether new requests are refused.
    """

    def __init__(
        self, *, forwarder, translator, published_state, stopping, clock
    ):
        self._forwarder = forwarder
        self._translator = translator
        self._published_state = published_state
        self._stopping = stopping
        self._clock = clock
        self._started_s = clock()
        self.in_flight = 0

    async def __call__(self, scope, receive, send):
        """Serve one ASGI request."""
        arrived_s = self._clock()
        channel = callers.CallerChannel(
            send=send, should_close=lambda: self._stopping.has_begun
        )
        self.in_flight += 1
        try:
            request = self._translator.read_request(scope)
            await self._serve(request, receive, channel, arrived_s)
        except exceptions.MalformedRequest as error:
            logs.write_event(
                'request_malformed', level='warning', reason=str(error)
            )
            await channel.answer(status=400)
        finally:
            self.in_flight -= 1

    async def _serve(self, request, receive, channel, arrived_s):
        body = None
        with anyio.CancelScope() as scope, self._stopping.cancel_at_end(scope):
            body = await self._read_body(receive)
        if scope.cancelled_caught:
            await self._forwarder.refuse(request, channel, reason='stopping')
            return
        if body is None:
            logs.write_event('caller_left', request=request.request_id)
            return
        if len(body) > self._body_limit_bytes():
            await channel.answer(status=413)
            return
        async with anyio.create_task_group() as group:
            group.start_soon(_watch_caller, receive, group.cancel_scope)
            await self._wait_for_configuration()
            if self._stopping.refuses_requests:
                await self._forwarder.refuse(
                    request, channel, reason='stopping'
                )
            else:
                await self._forwarder.serve(
                    request, body, channel, arrived_s=arrived_s
                )
            group.cancel_scope.cancel()

    async def _wait_for_configuration(self):
        """Hold a request until there is a configuration, after a start."""
        if self._published_state.catalogue is not None:
            return
        end_s = self._started_s + conf.START_HOLD_S
        with anyio.move_on_after(max(end_s - self._clock(), 0)):
            await self._published_state.wait_for_catalogue()

    async def _read_body(self, receive):
        """Return the body, or None if the caller has disconnected.

        Stop reading once the body exceeds the limit.
        """
        body = bytearray()
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return None
            body += message.get('body', b'')
            is_over_limit = len(body) > self._body_limit_bytes()
            if is_over_limit or not message.get('more_body', False):
                return bytes(body)

    def _body_limit_bytes(self):
        catalogue = self._published_state.catalogue
        if catalogue is None:
            return _BODY_LIMIT_BYTES
        return catalogue.caller_limits.body_bytes


# Applies until there is a configuration.
_BODY_LIMIT_BYTES = 4 * 1024 * 1024


async def _watch_caller(receive, scope):
    """Cancel the request when its caller disconnects."""
    while (await receive())['type'] != 'http.disconnect':
        pass
    scope.cancel()

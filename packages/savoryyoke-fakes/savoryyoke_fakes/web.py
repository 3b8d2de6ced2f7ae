"""Serve an ASGI application of a fake and print its address."""

import json
import urllib.parse

import anyio

from savoryyoke_edge import servers
from savoryyoke_edge.settings import addresses

HEADER_TIMEOUT_S = 30.0


class Request:
    """Read one HTTP request and send its response."""

    def __init__(self, *, scope, receive, send):
        self.method = scope['method']
        self.path = scope['path']
        query = urllib.parse.parse_qsl(scope['query_string'].decode())
        self.query_by_name = dict(query)
        self.headers_by_name = {
            name.decode(): value.decode() for name, value in scope['headers']
        }
        self._receive = receive
        self._send = send

    async def read_body(self):
        """Return the whole body as bytes."""
        body = b''
        while True:
            message = await self._receive()
            body += message.get('body', b'')
            if not message.get('more_body'):
                return body

    async def read_json(self):
        """Return the parsed JSON body; an empty body gives an empty object."""
        return json.loads(await self.read_body() or b'{}')

    async def wait_for_disconnect(self):
        """Wait until the client disconnects."""
        while (await self._receive())['type'] != 'http.disconnect':
            pass

    async def send_json(self, value, status=200):
        """Send ``value`` as a complete JSON response."""
        await self.start(status, b'application/json')
        await self.send_part(json.dumps(value).encode(), last=True)

    async def start(self, status, content_type):
        """Send the status and the headers."""
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [(b'content-type', content_type)],
            }
        )

    async def send_part(self, data, *, last=False):
        """Send one part of the body; ``last`` ends it."""
        await self._send(
            {
                'type': 'http.response.body',
                'body': data,
                'more_body': not last,
            }
        )


def build_application(handle):
    """Return an ASGI application that calls ``handle(request)``."""

    async def application(scope, receive, send):
        if scope['type'] == 'http':
            await handle(Request(scope=scope, receive=receive, send=send))

    return application


async def serve(handle, *, listen_address='127.0.0.1:0', name):
    """Serve until cancelled; print the bound address first."""
    listener = servers.bind(addresses.parse_address(listen_address))
    # The reader of the line below may connect before the server has started.
    listener.listen()
    host, port = listener.getsockname()
    print(f'event=ready name={name} address={host}:{port}', flush=True)
    server = servers.build_server(
        build_application(handle), header_timeout_s=HEADER_TIMEOUT_S
    )
    await server.serve(sockets=[listener])


def run(handle, *, listen_address, name):
    """Serve a fake until the process ends."""

    async def main():
        await serve(handle, listen_address=listen_address, name=name)

    anyio.run(main)

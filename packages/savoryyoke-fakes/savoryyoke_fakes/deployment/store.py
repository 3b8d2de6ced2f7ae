"""Simulate the key-value store of the platform."""

import base64
import json
import urllib.parse

import anyio

from savoryyoke_fakes.deployment import http

PAGE_ITEMS = 50


class FakeStore:
    """Serve published values, with faults that a test can switch on.

    While ``status`` is set, it is the status of every response. While
    ``is_silent`` is true, calls get no response. ``garbage`` replaces the
    body of the next response. Changes made while ``hides_changes`` is true
    are missing from the events of watches. ``calls`` lists the path of each
    call.
    """

    def __init__(self):
        self._items_by_key = {}
        self._revision = 1
        self._events = []
        self._first_watchable_revision = 0
        self._changed = anyio.Event()
        self.status = None
        self.is_silent = False
        self.garbage = None
        self.hides_changes = False
        self.calls = []

    def write(self, key, value):
        """Publish ``value``: bytes unchanged, anything else as JSON."""
        raw = value if type(value) is bytes else json.dumps(value).encode()
        self._revision += 1
        item = {
            'Key': key,
            'Value': base64.b64encode(raw).decode(),
            'Rev': self._revision,
            'Created': self._revision,
            'Lease': 0,
        }
        self._items_by_key[key] = item
        self._record_event(item)

    def remove(self, key):
        """Remove the value of ``key``."""
        self._revision += 1
        del self._items_by_key[key]
        self._record_event(
            {'Key': key, 'Rev': self._revision, 'Deleted': True}
        )

    def forget_history(self):
        """Drop past changes; watches of older revisions get status 410."""
        self._first_watchable_revision = self._revision
        self._events.clear()

    async def serve(self, *, task_status):
        """Serve on loopback until cancelled.

        Pass the bound address to ``task_status``.
        """
        await http.serve(self.answer, task_status=task_status)

    def _record_event(self, event):
        if not self.hides_changes:
            self._events.append(event)
        self._changed.set()
        self._changed = anyio.Event()

    async def answer(self, request, connection):
        """Answer one HTTP call of the store's API."""
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        self.calls.append(url.path)
        if self.is_silent:
            await anyio.sleep_forever()
        if self.status is not None:
            await connection.answer(self.status)
        elif self.garbage is not None:
            body, self.garbage = self.garbage, None
            await connection.answer(200, body=body)
        elif url.path == '/savoryyoke/kv-range':
            await self._answer_range(query, connection)
        elif url.path == '/savoryyoke/kv-watch':
            await self._answer_watch(query, connection)
        else:
            await connection.answer(404)

    async def _answer_range(self, query, connection):
        after_key = query.get('After', '')
        keys = sorted(key for key in self._items_by_key if key > after_key)
        page = [self._items_by_key[key] for key in keys[:PAGE_ITEMS]]
        await _send_json(
            connection,
            {
                'Items': page,
                'AsOf': self._revision,
                'HasMore': len(keys) > PAGE_ITEMS,
            },
        )

    async def _answer_watch(self, query, connection):
        after_revision = int(query['After'])
        with anyio.move_on_after(int(query['WaitMs']) / 1000):
            while self._revision <= after_revision:
                await self._changed.wait()
        if after_revision < self._first_watchable_revision:
            await connection.answer(410)
            return
        events = [
            event for event in self._events if event['Rev'] > after_revision
        ]
        await _send_json(
            connection, {'events': events, 'AsOf': self._revision}
        )


class Door:
    """Serve a store at a separate address.

    While ``is_shut`` is true, calls get status 503; ``refused`` counts them.
    """

    def __init__(self, *, store):
        self._store = store
        self.is_shut = False
        self.refused = 0

    async def serve(self, *, task_status):
        """Serve on loopback until cancelled.

        Pass the bound address to ``task_status``.
        """
        await http.serve(self._answer, task_status=task_status)

    async def _answer(self, request, connection):
        if self.is_shut:
            self.refused += 1
            await connection.answer(503)
            return
        await self._store.answer(request, connection)


async def _send_json(connection, document):
    await connection.answer(200, body=json.dumps(document).encode())

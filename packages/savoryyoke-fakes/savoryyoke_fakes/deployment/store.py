"""Simulate the key-value store of the platform."""

import base64
import dataclasses
import json
import urllib.parse

import anyio

from savoryyoke_fakes.deployment import http

PAGE_ITEMS = 50
FIRST_ERA = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Copy:
    """Hold what the store contained at a revision."""

    items_by_key: dict
    revision: int


class FakeStore:
    """Serve published values, with faults that a test can switch on.

    While ``status`` is set, it is the status of every response. While
    ``is_silent`` is true, calls get no response. ``garbage`` replaces the
    body of the next response. Changes made while ``hides_changes`` is true
    are missing from the events of watches. ``calls`` lists the path of each
    call. ``era`` is the value of the ``Store-Era`` header; without one if it
    is None.
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
        self.era = FIRST_ERA

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
        """Remove the value of ``key``, if there is one."""
        if self._items_by_key.pop(key, None) is None:
            return
        self._revision += 1
        self._record_event(
            {'Key': key, 'Rev': self._revision, 'Deleted': True}
        )

    @property
    def revision(self):
        """Return the revision of the last change."""
        return self._revision

    def forget_history(self):
        """Drop past changes; watches of older revisions get status 410."""
        self._first_watchable_revision = self._revision
        self._events.clear()

    def find_keys(self, prefix):
        """Return the published keys with this prefix."""
        return [key for key in self._items_by_key if key.startswith(prefix)]

    def copy(self):
        """Return a copy of the contents, for ``restore``."""
        return Copy(
            items_by_key=dict(self._items_by_key), revision=self._revision
        )

    def restore(self, copy):
        """Replace the contents by an older copy.

        All changes since are lost, and their revisions are used again.
        """
        self._items_by_key = dict(copy.items_by_key)
        self._revision = copy.revision
        self.era += 1
        self.forget_history()
        self._notify()

    async def serve(self, *, task_status):
        """Serve on loopback until cancelled.

        Pass the bound address to ``task_status``.
        """
        await http.serve(self.answer, task_status=task_status)

    def _record_event(self, event):
        if not self.hides_changes:
            self._events.append(event)
        self._notify()

    def _notify(self):
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
            await self._answer(connection, self.status)
        elif self.garbage is not None:
            body, self.garbage = self.garbage, None
            await self._answer(connection, 200, body)
        elif url.path == '/savoryyoke/kv-range':
            await self._answer_range(query, connection)
        elif url.path == '/savoryyoke/kv-watch':
            await self._answer_watch(query, connection)
        else:
            await self._answer(connection, 404)

    async def _answer(self, connection, status, body=b''):
        headers = []
        if self.era is not None:
            headers.append(('Store-Era', str(self.era)))
        await connection.answer(status, headers=headers, body=body)

    async def _answer_json(self, connection, document):
        body = json.dumps(document).encode()
        await self._answer(connection, 200, body)

    async def _answer_range(self, query, connection):
        after_key = query.get('After', '')
        keys = sorted(key for key in self._items_by_key if key > after_key)
        page = [self._items_by_key[key] for key in keys[:PAGE_ITEMS]]
        await self._answer_json(
            connection,
            {
                'Items': page,
                'AsOf': self._revision,
                'HasMore': len(keys) > PAGE_ITEMS,
            },
        )

    async def _answer_watch(self, query, connection):
        after_revision = int(query['After'])
        era = self.era
        with anyio.move_on_after(int(query['WaitMs']) / 1000):
            while self._revision == after_revision and self.era == era:
                await self._changed.wait()
        if not (
            self._first_watchable_revision <= after_revision <= self._revision
        ):
            await self._answer(connection, 410)
            return
        events = [
            event for event in self._events if event['Rev'] > after_revision
        ]
        await self._answer_json(
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

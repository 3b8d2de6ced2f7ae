"""Serve the admin endpoints of a daemon: health, metrics, status, drain."""

import hmac
import json

import prometheus_client

_TEXT = b'text/plain; charset=utf-8'
_JSON = b'application/json'


class Admin:
    """Serve the admin endpoints as an ASGI application.

    ``daemon`` has ``ready`` (a bool), ``build_status()`` (returns a mapping
    that JSON can represent) and ``start_drain()``. ``registry`` holds the
    Prometheus metrics. Without ``token``, draining needs no authorization.
    """

    def __init__(self, *, daemon, registry, token=None):
        self._daemon = daemon
        self._registry = registry
        self._token = token
        self._handlers_by_route = {
            ('GET', '/livez'): self._report_live,
            ('GET', '/readyz'): self._report_ready,
            ('GET', '/metrics'): self._report_metrics,
            ('GET', '/status'): self._report_status,
            ('POST', '/drain'): self._start_drain,
        }

    async def __call__(self, scope, receive, send):
        """Serve one ASGI request; ignore scopes other than HTTP."""
        if scope['type'] != 'http':
            return
        route = (scope['method'], scope['path'])
        handler = self._handlers_by_route.get(route)
        if handler is None:
            status, content_type, body = 404, _TEXT, b'not found\n'
        else:
            status, content_type, body = handler(scope)
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [(b'content-type', content_type)],
            }
        )
        await send({'type': 'http.response.body', 'body': body})

    def _report_live(self, scope):
        return 200, _TEXT, b'live\n'

    def _report_ready(self, scope):
        if self._daemon.ready:
            return 200, _TEXT, b'ready\n'
        return 503, _TEXT, b'not ready\n'

    def _report_metrics(self, scope):
        body = prometheus_client.generate_latest(self._registry)
        return 200, prometheus_client.CONTENT_TYPE_LATEST.encode(), body

    def _report_status(self, scope):
        body = json.dumps(self._daemon.build_status(), sort_keys=True)
        return 200, _JSON, body.encode()

    def _start_drain(self, scope):
        if not self._is_authorized(scope):
            return 401, _TEXT, b'the admin token is missing or wrong\n'
        self._daemon.start_drain()
        return 202, _TEXT, b'draining\n'

    def _is_authorized(self, scope):
        if self._token is None:
            return True
        headers_by_name = dict(scope['headers'])
        received = headers_by_name.get(b'authorization', b'')
        expected = b'Bearer ' + self._token.get_secret_value().encode()
        return hmac.compare_digest(received, expected)

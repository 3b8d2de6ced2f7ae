"""Serve the addresses of the gateway with one HTTP server."""

from savoryyoke_edge import bounded_input
from savoryyoke_edge import servers


class ConnectionTimeouts:
    """Hold the timeouts of callers' connections in seconds.

    ``header_s`` is the time for the headers of a request, and ``idle_s`` the
    time that an idle connection stays open. They never decrease: callers may
    rely on any limit that was in force while their connection was open.
    """

    def __init__(self, *, header_s, idle_s):
        self.header_s = header_s
        self.idle_s = idle_s

    def extend(self, *, header_s, idle_s):
        """Keep connections open for at least these times."""
        self.header_s = max(self.header_s, header_s)
        self.idle_s = max(self.idle_s, idle_s)


class ApplicationsByPort:
    """Pass each request to the ASGI application of its local port."""

    def __init__(self, applications_by_port):
        self._applications_by_port = applications_by_port

    async def __call__(self, scope, receive, send):
        """Serve one ASGI request."""
        application = self._applications_by_port[scope['server'][1]]
        await application(scope, receive, send)


def build_server(application, *, timeouts, intake):
    """Return a server that limits every connection.

    ``intake`` is the ``bounded_input.Intake`` of the process.
    """

    class LimitedProtocol(bounded_input.BoundedInputProtocol):
        """Read the timeouts each time that they begin."""

        def __init__(self, *arguments, **options):
            super().__init__(*arguments, **options)
            self.intake = intake

        @property
        def header_timeout_s(self):
            """Return the time for the next request's headers."""
            return timeouts.header_s

        @property
        def timeout_keep_alive(self):
            """Return the limit in seconds."""
            return timeouts.idle_s

        @timeout_keep_alive.setter
        def timeout_keep_alive(self, value):
            """Ignore the fixed limit in the server's configuration."""

    return servers.build_server(application, protocol_class=LimitedProtocol)

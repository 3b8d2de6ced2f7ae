"""Serve the addresses of the gateway with one HTTP server."""

from savoryyoke_edge import servers


class IdleLimit:
    """Hold how many seconds idle connections of callers stay open.

    It never decreases: callers may rely on any limit that was in force
    while their connection was open.
    """

    def __init__(self, *, timeout_s):
        self.timeout_s = timeout_s

    def extend(self, timeout_s):
        """Keep connections open for at least ``timeout_s`` seconds."""
        self.timeout_s = max(self.timeout_s, timeout_s)


class ApplicationsByPort:
    """Pass each request to the ASGI application of its local port."""

    def __init__(self, applications_by_port):
        self._applications_by_port = applications_by_port

    async def __call__(self, scope, receive, send):
        """Serve one ASGI request."""
        application = self._applications_by_port[scope['server'][1]]
        await application(scope, receive, send)


def build_server(application, *, header_timeout_s, idle_limit):
    """Return a server that applies ``idle_limit`` to every connection."""

    class LimitedProtocol(servers.HeaderTimeoutProtocol):
        """Read the idle limit each time that a connection becomes idle."""

        @property
        def timeout_keep_alive(self):
            """Return the limit in seconds."""
            return idle_limit.timeout_s

        @timeout_keep_alive.setter
        def timeout_keep_alive(self, value):
            """Ignore the fixed limit in the server's configuration."""

    return servers.build_server(
        application,
        header_timeout_s=header_timeout_s,
        protocol_class=LimitedProtocol,
    )

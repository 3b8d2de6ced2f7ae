"""Run the parts that every daemon has: signal handling and admin server."""

from savoryyoke_edge import admin
from savoryyoke_edge import logs
from savoryyoke_edge import pending_signals
from savoryyoke_edge import servers
from savoryyoke_edge import signal_receivers

ADMIN_HEADER_TIMEOUT_S = 5.0


class AdminServer:
    """Own the listener and the HTTP server of a daemon's admin address."""

    def __init__(self, *, daemon, settings, registry):
        self._listener = servers.bind(settings.admin_address)
        self._server = servers.build_server(
            admin.Admin(
                daemon=daemon,
                registry=registry,
                token=settings.admin_token,
            ),
            header_timeout_s=ADMIN_HEADER_TIMEOUT_S,
        )

    @property
    def address(self):
        """Return the bound address as ``host:port``."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    async def run(self):
        """Serve until stopped."""
        await self._server.serve(sockets=[self._listener])

    def stop(self):
        """Stop the server; ``run`` returns soon after."""
        self._server.should_exit = True


async def watch_signals(start_drain):
    """Call ``start_drain()`` for each SIGTERM or SIGINT."""
    with signal_receivers.open_receiver(
        pending_signals.STOP_SIGNALS
    ) as signals:
        async for received_signal in signals:
            logs.write_event('signal_received', signal=received_signal.name)
            start_drain()

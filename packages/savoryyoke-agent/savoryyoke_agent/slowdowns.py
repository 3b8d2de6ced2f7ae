"""Report a slow rank to the entries."""

import anyio

from savoryyoke_agent import conf

from savoryyoke_edge import logs
from savoryyoke_wire import group


class SlowdownReporting:
    """Tell entries how slow the own rank is, as long as it is slow.

    ``agent`` is the ``RankAgent`` of this rank.
    """

    def __init__(self, *, settings, agent, exchange):
        self._settings = settings
        self._seed_hosts = settings.seed_hosts
        self._agent = agent
        self._exchange = exchange
        self._was_slow = False

    def set_seeds(self, seed_hosts):
        """Replace the hosts of the entries that get reports."""
        self._seed_hosts = seed_hosts

    async def run(self):
        """Send reports until cancelled."""
        while True:
            await anyio.sleep(conf.SLOWDOWN_REPORT_INTERVAL_S)
            state = self._agent.state
            if state is not None:
                await self._report(state.pace)

    async def _report(self, pace):
        is_slow = pace >= conf.MIN_REPORTED_SLOWDOWN
        if is_slow != self._was_slow:
            self._was_slow = is_slow
            logs.write_event('pace_changed', pace=pace)
        if is_slow:
            await self._exchange.send(
                group.PaceReport(
                    address=self._settings.own_address, pace=pace
                ),
                self._seed_hosts,
                port=self._settings.pace_port,
            )

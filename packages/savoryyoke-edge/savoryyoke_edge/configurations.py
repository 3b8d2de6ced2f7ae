"""Keep the operators' configuration in force in this process."""

import anyio

from savoryyoke.configuration import state
from savoryyoke_edge import exceptions
from savoryyoke_edge import logs
from savoryyoke_edge import platform

BASE_NAME = 'base'
OVERLAY_PREFIX = 'overlay.'
RETRY_S = 0.5


class ConfigurationWatch:
    """Watch the platform's values and tell listeners what is in force.

    ``on_applied(decision)`` is called with each
    ``state.ConfigurationApplied``.
    """

    def __init__(self, *, reader, site, clock, on_applied):
        self._reader = reader
        self._overlay_name = OVERLAY_PREFIX + site
        self._clock = clock
        self._on_applied = on_applied
        self._state = state.ConfigurationState()
        self._values_by_name = {
            self._overlay_name: platform.Value(
                name=self._overlay_name, revision=0, text=''
            )
        }
        self.refusals = 0

    @property
    def applied(self):
        """Return the configuration in force, or None."""
        return self._state.applied

    @property
    def refused(self):
        """Return the newest refused offer that nothing has mended."""
        return self._state.refused

    async def run(self):
        """Watch until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch, BASE_NAME)
            tasks.start_soon(self._watch, self._overlay_name)

    async def _watch(self, name):
        while True:
            known = self._values_by_name.get(name)
            try:
                value = await self._reader.read_value(
                    name,
                    after_revision=known.revision if known else 0,
                    wait_s=platform.WATCH_TIMEOUT_S,
                )
            except exceptions.PlatformUnavailable as error:
                logs.write_event(
                    'platform_unavailable',
                    level='warning',
                    value=name,
                    reason=str(error),
                )
                await anyio.sleep(RETRY_S)
                continue
            if value is not None:
                self._take(value)

    def _take(self, value):
        known = self._values_by_name.get(value.name)
        if known is not None and value.revision <= known.revision:
            return
        self._values_by_name[value.name] = value
        base = self._values_by_name.get(BASE_NAME)
        if base is None:
            return
        overlay = self._values_by_name[self._overlay_name]
        offered = state.DocumentOffered(
            base_text=base.text,
            overlay_text=overlay.text,
            base_revision=base.revision,
            overlay_revision=overlay.revision,
        )
        for decision in self._state.apply(offered, now_s=self._clock()):
            self._report(decision)

    def _report(self, decision):
        revision = f'{decision.revision.base}.{decision.revision.overlay}'
        match decision:
            case state.ConfigurationApplied():
                logs.write_event(
                    'configuration_applied',
                    revision=revision,
                    digest=decision.digest,
                )
                self._on_applied(decision)
            case state.ConfigurationRefused():
                self.refusals += 1
                for fault in decision.faults:
                    logs.write_event(
                        'configuration_refused',
                        level='error',
                        revision=revision,
                        fault=str(fault),
                    )
            case state.OfferIgnored():
                logs.write_event(
                    'configuration_ignored',
                    revision=revision,
                    reason=decision.reason.value,
                )

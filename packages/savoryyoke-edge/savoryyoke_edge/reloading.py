"""Apply changed settings to a running process."""

import dataclasses

import anyio

from savoryyoke_edge import exceptions
from savoryyoke_edge import logs

# How soon settings that could not be used are read again: whoever writes the
# file sends no further signal when it is complete.
RETRY_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reload:
    """Hold the settings to apply and the names of those that changed.

    ``needs_restart`` names the changed settings that are not applied.
    """

    settings: object
    changed: tuple[str, ...]
    needs_restart: tuple[str, ...]


def plan_reload(current_settings, new_settings, *, reloadable_fields):
    """Return the ``Reload`` from ``current`` settings to ``offered`` ones.

    ``reloadable_fields`` are the names of those that a running process can
    change.
    """
    names = [
        field.name
        for field in dataclasses.fields(current_settings)
        if getattr(current_settings, field.name)
        != getattr(new_settings, field.name)
    ]
    changed = tuple(name for name in names if name in reloadable_fields)
    return Reload(
        settings=dataclasses.replace(
            current_settings,
            **{name: getattr(new_settings, name) for name in changed},
        ),
        changed=changed,
        needs_restart=tuple(
            name for name in names if name not in reloadable_fields
        ),
    )


class SettingsReloader:
    """Own the settings in force of a process.

    ``read_settings()`` reads them again; it raises ``SettingsUnusable``.
    ``apply(settings)`` is called with the settings of each reload.
    """

    def __init__(self, *, settings, reloadable_fields, read_settings, apply):
        self.settings = settings
        self._reloadable_fields = reloadable_fields
        self._read_settings = read_settings
        self._apply = apply
        self._refusal_reason = None
        self._refused = anyio.Event()

    def reload(self):
        """Read the settings again and apply those that need no restart.

        If they are unusable, the settings in force stay unchanged and
        ``run()`` reads them again soon.
        """
        try:
            new_settings = self._read_settings()
        except exceptions.SettingsUnusable as error:
            self._refuse(str(error))
            return
        self._refusal_reason = None
        previous_settings = self.settings
        planned = plan_reload(
            self.settings,
            new_settings,
            reloadable_fields=self._reloadable_fields,
        )
        self.settings = planned.settings
        self._apply(planned.settings)
        for name in planned.changed:
            logs.write_event(
                'setting_changed',
                name=name,
                value=getattr(planned.settings, name),
                previous=getattr(previous_settings, name),
            )
        logs.write_event(
            'settings_reloaded',
            changed=','.join(planned.changed),
            needs_restart=','.join(planned.needs_restart),
        )

    async def run(self):
        """Read unusable settings again until they are usable."""
        while True:
            await self._refused.wait()
            self._refused = anyio.Event()
            await anyio.sleep(RETRY_INTERVAL_S)
            if self._refusal_reason is not None:
                self.reload()

    def _refuse(self, reason):
        if reason != self._refusal_reason:
            logs.write_event('reload_refused', level='warning', reason=reason)
        self._refusal_reason = reason
        self._refused.set()

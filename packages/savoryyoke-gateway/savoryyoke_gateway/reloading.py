"""Determine which changed settings a reload can apply."""

import dataclasses

# Settings that a running process can change. The others determine open sockets
# or limits that are already partly spent.
_RELOADABLE_FIELDS = frozenset({'seed_hosts', 'grace_s'})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reload:
    """Hold the settings to apply and the names of those that changed.

    ``needs_restart`` names the changed settings that are not applied.
    """

    settings: object
    changed: tuple[str, ...]
    needs_restart: tuple[str, ...]


def plan_reload(current_settings, new_settings):
    """Return the ``Reload`` from ``current`` settings to ``offered`` ones."""
    names = [
        field.name
        for field in dataclasses.fields(current_settings)
        if getattr(current_settings, field.name)
        != getattr(new_settings, field.name)
    ]
    changed = tuple(name for name in names if name in _RELOADABLE_FIELDS)
    return Reload(
        settings=dataclasses.replace(
            current_settings,
            **{name: getattr(new_settings, name) for name in changed},
        ),
        changed=changed,
        needs_restart=tuple(
            name for name in names if name not in _RELOADABLE_FIELDS
        ),
    )

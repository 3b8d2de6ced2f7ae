"""Compare the settings in force with those of a reload."""

import dataclasses

# What a running process can take over; the rest is bound to sockets or to
# limits that are already partly spent.
_CHANGEABLE = frozenset({'seed_hosts', 'grace_s'})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reload:
    """Hold the settings to put in force and the names of what changed.

    ``needs_restart`` names changed settings that stay as they were.
    """

    settings: object
    changed: tuple[str, ...]
    needs_restart: tuple[str, ...]


def plan_reload(current, offered):
    """Return the ``Reload`` from ``current`` settings to ``offered`` ones."""
    names = [
        field.name
        for field in dataclasses.fields(current)
        if getattr(current, field.name) != getattr(offered, field.name)
    ]
    changed = tuple(name for name in names if name in _CHANGEABLE)
    return Reload(
        settings=dataclasses.replace(
            current, **{name: getattr(offered, name) for name in changed}
        ),
        changed=changed,
        needs_restart=tuple(x for x in names if x not in _CHANGEABLE),
    )

"""Hold what this entry knows of the published values."""

import dataclasses

from savoryyoke.placement import addresses
from savoryyoke.published import view

from savoryyoke_edge import logs
from savoryyoke_gateway import ports


@dataclasses.dataclass(frozen=True, kw_only=True)
class ViewStamp:
    """Say which revision a decision rests on and how old it is."""

    as_of: int
    age_s: float | None


class Knowledge:
    """Own the view of published values and the facts in it.

    ``on_change`` is called with the new ``Publication`` after each change.
    A catalogue that can't be used leaves the last usable one in force.
    """

    def __init__(self, *, interpreter, clock, on_change):
        self._interpreter = interpreter
        self._clock = clock
        self._on_change = on_change
        self._view = view.PublishedView(is_leased=interpreter.is_leased)
        self._known_faults = frozenset()
        self.publication = ports.Publication(
            catalogue=None,
            targets=(),
            closed_data_centres=frozenset(),
            faults=(),
        )

    @property
    def as_of(self):
        """Return the revision of the view."""
        return self._view.as_of

    @property
    def catalogue(self):
        """Return the catalogue in force, or None before the first."""
        return self.publication.catalogue

    def stamp(self):
        """Return the revision and age of the view."""
        age_s = self._view.age_s(now_s=self._clock())
        return ViewStamp(as_of=self._view.as_of, age_s=age_s)

    def take_snapshot(self):
        """Return the whole view for a peer."""
        return self._view.take_snapshot()

    def take_in(self, reading, *, source, after_outage=False):
        """Apply a reading; ``source`` names where it is from, for the log.

        ``after_outage`` marks the first reading after failed ones.
        """
        if self._view.apply(
            reading, now_s=self._clock(), after_outage=after_outage
        ):
            self._interpret(source)

    def expire(self):
        """Drop entries whose grace has ended."""
        if self._view.expire(now_s=self._clock()):
            self._interpret('lapse')

    def _interpret(self, source):
        publication = self._interpreter.interpret(self._view.items_by_key)
        before = self.publication
        catalogue = self._choose_catalogue(publication.catalogue)
        self.publication = dataclasses.replace(
            publication,
            catalogue=catalogue,
            targets=addresses.drop_replaced(publication.targets),
        )
        self._log_faults(publication.faults)
        self._log_changes(before, source)
        self._on_change(self.publication)

    def _choose_catalogue(self, offered):
        current = self.publication.catalogue
        if offered is None:
            return current
        if current is not None and offered.version < current.version:
            logs.write_event(
                'configuration_ignored',
                level='warning',
                version=offered.version,
                in_force=current.version,
                reason='older',
            )
            return current
        return offered

    def _log_faults(self, faults):
        for fault in faults:
            if fault not in self._known_faults:
                logs.write_event(
                    'published_value_refused',
                    level='warning',
                    check=fault.check_id,
                    key=fault.key,
                    problem=fault.problem,
                    hint=fault.hint,
                )
        self._known_faults = frozenset(faults)

    def _log_changes(self, before, source):
        after = self.publication
        if after.catalogue is not before.catalogue:
            logs.write_event(
                'configuration_in_force',
                version=after.catalogue.version,
                as_of=self.as_of,
                source=source,
            )
        if after.closed_data_centres != before.closed_data_centres:
            logs.write_event(
                'data_centres_closed',
                data_centres=','.join(sorted(after.closed_data_centres)),
                as_of=self.as_of,
                source=source,
            )
        if after.targets != before.targets:
            self._log_targets(before, source)

    def _log_targets(self, before, source):
        known = {x.target_id: x for x in before.targets}
        current = {x.target_id: x for x in self.publication.targets}
        for target_id, target in current.items():
            if known.get(target_id) != target:
                logs.write_event(
                    'target_published',
                    target=target_id,
                    service=target.service_name,
                    address=f'{target.host}:{target.port}',
                    data_centre=target.data_centre,
                    draining=target.is_draining,
                    in_service=target.is_in_service,
                    release=target.release,
                    as_of=self.as_of,
                    source=source,
                )
        for target_id in known.keys() - current.keys():
            logs.write_event(
                'target_gone',
                target=target_id,
                as_of=self.as_of,
                source=source,
            )

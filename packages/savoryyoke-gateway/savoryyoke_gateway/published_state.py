"""Hold this entry's copy of the published values."""

import dataclasses

import anyio

from savoryyoke.groups.rollout import members as rollout_members
from savoryyoke.groups.rollout import models as rollout_models
from savoryyoke.placement import addresses
from savoryyoke.placement import eligibility
from savoryyoke.published import holds
from savoryyoke.published import models
from savoryyoke.published import view

from savoryyoke_edge import logs
from savoryyoke_gateway import ports


@dataclasses.dataclass(frozen=True, kw_only=True)
class ViewStamp:
    """Hold the revision of the published values and their age in seconds."""

    as_of: models.Revision
    age_s: float | None


class PublishedState:
    """Own this entry's view of the published values.

    ``publication`` is its content in decoded form; ``on_change`` is called
    with the new ``Publication`` after each change. While the published
    catalogue is unusable, the last usable one stays in force. ``hold_times``
    is a ``HoldTimes``.
    """

    def __init__(self, *, interpreter, hold_times, metrics, clock, on_change):
        self._interpreter = interpreter
        self._metrics = metrics
        self._clock = clock
        self._on_change = on_change
        self._view = view.PublishedView(
            order=holds.ItemOrder(
                is_leased=interpreter.is_leased,
                read_version=interpreter.read_version,
                hold_times=hold_times,
            )
        )
        self._claims = addresses.AddressClaims()
        self._reported_faults = frozenset()
        self._problems_by_id = {}
        self._has_catalogue = anyio.Event()
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
        """Return the catalogue in force, or None if there was none yet."""
        return self.publication.catalogue

    @property
    def configuration_version(self):
        """Return the version of the configuration in force, 0 without one."""
        return self.catalogue.version if self.catalogue else 0

    async def wait_for_catalogue(self):
        """Return once there is a catalogue."""
        await self._has_catalogue.wait()

    def stamp(self):
        """Return the revision and age of the view."""
        age_s = self._view.age_s(now_s=self._clock())
        return ViewStamp(as_of=self._view.as_of, age_s=age_s)

    def take_snapshot(self):
        """Return a snapshot of the whole view, for a peer."""
        return self._view.take_snapshot(now_s=self._clock())

    def find_group_members(self, group):
        """Return the published ``GroupMembers`` of a group, or None."""
        members = [
            target
            for target in self.publication.targets
            if target.group == group and self._find_group_shape(target)
        ]
        if not members:
            return None
        service_name = rollout_members.find_service(
            members, has_answered=self._claims.is_confirmed
        )
        members = [
            target for target in members if target.service_name == service_name
        ]
        return rollout_models.GroupMembers(
            shape=self._find_group_shape(members[0]),
            hosts_by_rank=rollout_members.index_hosts(
                members, has_answered=self._claims.is_confirmed
            ),
        )

    def _find_group_shape(self, target):
        """Return the ``GroupShape`` of a target's service, or None."""
        service = self.catalogue.services_by_name.get(target.service_name)
        return None if service is None else service.group_shape

    def apply(self, reading, *, source, after_outage=False):
        """Apply a reading, which is a ``Snapshot`` or ``Changes``.

        ``source`` names its origin, for the log. ``after_outage`` is true
        for the first successful reading after an outage of the platform.
        """
        previous_as_of = self.as_of
        changed = self._view.apply(
            reading, now_s=self._clock(), after_outage=after_outage
        )
        if previous_as_of < self.as_of:
            self._note_epoch(previous_as_of, source)
        if changed:
            self._interpret(source)

    def begin_outage(self):
        """Expect leases to expire, as the platform can't be read."""
        self._view.begin_outage()

    def expire(self):
        """Remove or replace items that were kept for a time that is over."""
        if self._view.expire(now_s=self._clock()):
            self._interpret('lapse')

    def record_answer(self, target):
        """Record that a target has answered a request for it."""
        self._claims.confirm(target)

    def record_misdirection(self, target):
        """Record that another target has answered at a target's address."""
        if self._claims.refute(target):
            logs.write_event(
                'address_claim_refuted',
                level='warning',
                target=target.target_id,
                incarnation=target.incarnation,
                address=f'{target.host}:{target.port}',
                as_of=self.as_of,
            )
            self._interpret('answer')

    def _note_epoch(self, previous_as_of, source):
        """Log and count a platform that was restored from an older copy."""
        if previous_as_of == models.NO_REVISION:
            return
        if previous_as_of.epoch == self.as_of.epoch:
            return
        self._metrics.count_restored_platform()
        logs.write_event(
            'store_restored',
            level='warning',
            previous=previous_as_of,
            as_of=self.as_of,
            source=source,
            kept=self._view.held_count,
            configuration=self.configuration_version,
        )

    def _interpret(self, source):
        publication = self._interpreter.interpret(self._view.items_by_key)
        previous = self.publication
        catalogue = self._choose_catalogue(publication.catalogue)
        eligible_targets, ignored_targets = self._split_targets(
            publication.targets, catalogue
        )
        self.publication = dataclasses.replace(
            publication,
            catalogue=catalogue,
            targets=self._claims.select(eligible_targets),
            ignored_targets=ignored_targets,
        )
        if catalogue is not None:
            self._has_catalogue.set()
        self._log_faults(publication.faults)
        self._log_changes(previous, source)
        self._on_change(self.publication)

    def _split_targets(self, targets, catalogue):
        """Return the targets that may be used, and the others.

        Without a catalogue it is not known yet which ones may be used.
        """
        if catalogue is None:
            return (), targets
        problems_by_id = {
            target.target_id: problem
            for target in targets
            if (problem := eligibility.find_problem(target, catalogue))
        }
        self._log_ignored(targets, problems_by_id)
        return (
            tuple(
                target
                for target in targets
                if target.target_id not in problems_by_id
            ),
            tuple(
                target
                for target in targets
                if target.target_id in problems_by_id
            ),
        )

    def _log_ignored(self, targets, problems_by_id):
        """Log each target that has become unusable by the configuration."""
        for target in targets:
            problem = problems_by_id.get(target.target_id)
            if problem != self._problems_by_id.get(target.target_id):
                logs.write_event(
                    'target_ignored' if problem else 'target_accepted',
                    target=target.target_id,
                    service=target.service_name,
                    address=f'{target.host}:{target.port}',
                    reason=problem,
                    as_of=self.as_of,
                )
        self._problems_by_id = problems_by_id

    def _choose_catalogue(self, candidate):
        current_catalogue = self.publication.catalogue
        if candidate is None:
            return current_catalogue
        if (
            current_catalogue is not None
            and candidate.version < current_catalogue.version
        ):
            logs.write_event(
                'configuration_ignored',
                level='warning',
                version=candidate.version,
                in_force=current_catalogue.version,
                reason='older',
            )
            return current_catalogue
        return candidate

    def _log_faults(self, faults):
        for fault in faults:
            if fault not in self._reported_faults:
                logs.write_event(
                    'published_value_refused',
                    level='warning',
                    check=fault.check_id,
                    key=fault.key,
                    problem=fault.problem,
                    hint=fault.hint,
                )
        self._reported_faults = frozenset(faults)

    def _log_changes(self, previous, source):
        current_publication = self.publication
        if current_publication.catalogue is not previous.catalogue:
            logs.write_event(
                'configuration_in_force',
                version=current_publication.catalogue.version,
                as_of=self.as_of,
                source=source,
            )
        if (
            current_publication.closed_data_centres
            != previous.closed_data_centres
        ):
            logs.write_event(
                'data_centres_closed',
                data_centres=','.join(
                    sorted(current_publication.closed_data_centres)
                ),
                as_of=self.as_of,
                source=source,
            )
        if current_publication.targets != previous.targets:
            self._log_targets(previous, source)

    def _log_targets(self, previous, source):
        previous_targets = {
            target.target_id: target for target in previous.targets
        }
        current_targets = {
            target.target_id: target for target in self.publication.targets
        }
        for target_id, target in current_targets.items():
            if previous_targets.get(target_id) != target:
                logs.write_event(
                    'target_published',
                    target=target_id,
                    service=target.service_name,
                    address=f'{target.host}:{target.port}',
                    data_centre=target.data_centre,
                    draining=target.is_draining,
                    in_service=target.is_in_service,
                    group=target.group,
                    group_epoch=target.group_epoch,
                    release=target.release,
                    as_of=self.as_of,
                    source=source,
                )
        for target_id in previous_targets.keys() - current_targets.keys():
            logs.write_event(
                'target_gone',
                target=target_id,
                as_of=self.as_of,
                source=source,
            )

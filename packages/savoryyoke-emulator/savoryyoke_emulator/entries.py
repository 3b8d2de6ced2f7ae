"""Emulate entries that place requests with ``savoryyoke.placement``."""

from savoryyoke.placement import conf as placement_conf
from savoryyoke.placement import decisions
from savoryyoke.placement import dispatcher
from savoryyoke.placement import events
from savoryyoke.placement import models
from savoryyoke.placement import pool
from savoryyoke.scarcity import models as scarcity_models

_SERVICE = 'streams'
_GROUP = 'group'


def build_targets(engines, *, is_open):
    """Return the published targets of a group, one per rank."""
    return tuple(
        models.Target(
            target_id=str(rank),
            incarnation=1,
            service_name=_SERVICE,
            host='engine',
            port=rank,
            data_centre='dc',
            region='region',
            slots=engines.slots,
            is_draining=False,
            is_in_service=is_open,
            group=_GROUP,
            group_epoch=1,
            group_rank=rank,
        )
        for rank in range(engines.ranks)
    )


class Entry:
    """Run the dispatcher of one entry.

    ``on_decision(request_id, decision)`` is called once for each request.
    ``terms`` are the scarcity ``Terms`` of the service, or None.
    """

    def __init__(self, *, fleet, random_source, clock, on_decision, terms):
        self._clock = clock
        self._on_decision = on_decision
        self.is_up = True
        policy = placement_conf.PlacementPolicy(
            engine_requests_per_target=fleet.engine_requests
        )
        self._dispatcher = dispatcher.Dispatcher(
            pool=pool.TargetPool(
                policy=policy,
                is_engine=True,
                own_data_centre='dc',
                random_fraction=random_source.random,
            ),
            random_fraction=random_source.random,
        )
        self._dispatcher.pool.set_terms(terms)

    def publish(self, targets):
        """Apply a new list of published targets."""
        self._apply(events.TargetsChanged(targets=targets))

    def report_peer(self, peer_id, requests_by_target_id):
        """Apply another entry's number of requests in flight per target."""
        self._apply(
            events.PeerReported(
                peer_id=peer_id, requests_by_target_id=requests_by_target_id
            )
        )

    def own_in_flight(self):
        """Return this entry's number of requests in flight by target id."""
        return self._dispatcher.pool.own_in_flight()

    def receive(self, arrival):
        """Pass a ``RequestArrived`` event to the dispatcher."""
        self._apply(arrival)
        self._clock.call_at(arrival.wait_until_s, self.tick)

    def withdraw(self, request_id):
        """Remove a waiting request from the queue."""
        self._apply(events.RequestWithdrawn(request_id=request_id))

    def end_try(self, target_id, *, service_time_s):
        """Report the end of a try; ``service_time_s`` is None if it failed."""
        result = models.TryResult.ANSWERED
        if service_time_s is None:
            result = models.TryResult.BROKEN
        self._apply(
            events.TryEnded(
                target_id=target_id,
                incarnation=1,
                result=result,
                service_time_s=service_time_s,
            )
        )

    def record_pause(self, target, pause_s):
        """Report the pause between two events of a stream."""
        self._apply(events.PauseMeasured(target=target, pause_s=pause_s))

    def tick(self):
        """Let the dispatcher act on deadlines that have passed."""
        self._apply(events.Ticked())

    def _apply(self, event):
        if not self.is_up:
            return
        for decision in self._dispatcher.apply(event, now_s=self._clock.now_s):
            self._on_decision(decision.request_id, decision)


def build_terms(experiment):
    """Return the scarcity ``Terms`` of an experiment, or None."""
    priorities = {kind.priority for kind in experiment.kinds}
    if len(priorities) < 2:
        return None
    return scarcity_models.Terms(
        priorities=tuple(sorted(priorities)),
        pause_limit_s=experiment.traffic.pause_s,
    )


def is_placed(decision):
    """Return whether a decision sends the request to a target."""
    return isinstance(decision, decisions.Place)

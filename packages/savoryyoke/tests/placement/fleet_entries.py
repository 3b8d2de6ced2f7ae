"""Build the entries of simulated fleets."""

from savoryyoke.placement import conf
from savoryyoke.placement import dispatcher
from savoryyoke.placement import events
from savoryyoke.placement import models
from savoryyoke.placement import pool


def build_entry(*, target_count, slots, random_fraction):
    """Return a dispatcher with engines whose ids are their numbers."""
    entry = dispatcher.Dispatcher(
        pool=pool.TargetPool(
            policy=conf.PlacementPolicy(),
            is_engine=True,
            own_data_centre='dc-a',
            random_fraction=random_fraction,
        ),
        random_fraction=random_fraction,
    )
    targets = tuple(
        models.Target(
            target_id=str(number),
            incarnation=1,
            service_name='s',
            host=f'10.0.1.{number}',
            port=80,
            data_centre='dc-a',
            region='r',
            slots=slots,
            is_draining=False,
            is_in_service=True,
        )
        for number in range(target_count)
    )
    entry.apply(events.TargetsChanged(targets=targets), now_s=0.0)
    return entry

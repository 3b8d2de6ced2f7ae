"""Draw the faults of one run from its seed."""

import dataclasses
import random

from savoryyoke_soak import conf

ENTRY_FAULTS = ('kill', 'freeze', 'stop', 'reload', 'torn-settings')
STORE_FAULTS = (
    'store-cut',
    'store-mute',
    'store-error',
    'store-history',
    'store-garbage',
)
TARGET_FAULTS = (
    'kill-target',
    'freeze-target',
    'drain-target',
    'leaving-target',
    'busy-target',
    'endless-target',
)
REQUEST_FAULTS = ('fatal-request',)
LINK_FAULTS = ('delay', 'reset', 'cut-to', 'cut-from', 'silence')
# Links fail more often than processes do.
_WEIGHTED = (
    *ENTRY_FAULTS,
    *STORE_FAULTS,
    *TARGET_FAULTS,
    *REQUEST_FAULTS,
    *LINK_FAULTS,
    *LINK_FAULTS,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """Say what befalls a place, when and for how long."""

    kind: str
    place: int
    at_s: float
    for_s: float


def draw_faults(*, seed, seconds, entries, targets):
    """Return the faults of a run in order of time; they may overlap."""
    source = random.Random(seed)
    faults = []
    at_s = 0.0
    while True:
        at_s += source.expovariate(1 / conf.FAULT_GAP_S)
        if at_s >= seconds:
            return tuple(faults)
        kind = source.choice(_WEIGHTED)
        places = entries if kind in ENTRY_FAULTS else targets
        if kind in STORE_FAULTS:
            places = entries
        faults.append(
            Fault(
                kind=kind,
                place=source.randrange(places),
                at_s=at_s,
                for_s=source.uniform(
                    conf.FAULT_SHORTEST_S, conf.FAULT_LONGEST_S
                ),
            )
        )

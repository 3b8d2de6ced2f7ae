"""Generate the faults of one run from its seed."""

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
    'store-restore',
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
# Kinds that replace every other fault of an older kind, so that runs of seeds
# that found a fault keep all other faults.
REPLACEMENTS_BY_KIND = {
    'fatal-request': 'fatal-prompts',
    'busy-target': 'limited-target',
}
LINK_FAULTS = ('delay', 'reset', 'cut-to', 'cut-from', 'silence')
# Link faults are listed twice so that they are twice as likely.
_WEIGHTED_KINDS = (
    *ENTRY_FAULTS,
    *STORE_FAULTS,
    *TARGET_FAULTS,
    *REQUEST_FAULTS,
    *LINK_FAULTS,
    *LINK_FAULTS,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """Describe a fault of the entry or target with the number ``index``.

    The fault starts ``at_s`` after the start of the run and lasts ``for_s``.
    """

    kind: str
    index: int
    at_s: float
    for_s: float


def generate_faults(*, seed, seconds, entries, targets):
    """Return the faults of a run, ordered by start; they may overlap.

    ``entries`` and ``targets`` are the numbers of processes in the fleet.
    """
    random_source = random.Random(seed)
    faults = []
    at_s = 0.0
    while True:
        at_s += random_source.expovariate(1 / conf.FAULT_GAP_S)
        if at_s >= seconds:
            return tuple(faults)
        kind = random_source.choice(_WEIGHTED_KINDS)
        candidates = entries if kind in ENTRY_FAULTS else targets
        if kind in STORE_FAULTS:
            candidates = entries
        index = random_source.randrange(candidates)
        if index % 2:
            kind = REPLACEMENTS_BY_KIND.get(kind, kind)
        faults.append(
            Fault(
                kind=kind,
                index=index,
                at_s=at_s,
                for_s=random_source.uniform(
                    conf.FAULT_SHORTEST_S, conf.FAULT_LONGEST_S
                ),
            )
        )

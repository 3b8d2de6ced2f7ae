"""Draw failures of processes that come together."""

from savoryyoke_fakes import fleets
from savoryyoke_fakes.scenarios import steps

ENTRIES = tuple(place.vm_id for place in fleets.ENTRIES)
TARGETS = tuple(place.vm_id for place in fleets.TARGETS)
ENGINES = tuple(
    f'{place.vm_id}.backend'
    for place in fleets.TARGETS
    if place.service == fleets.LANGUAGE
)


def draw_pair(generator, *, line):
    """Return two failures at once, each with the step that mends it.

    ``generator`` is a ``random.Random``. Engines die, other processes die
    or freeze. At least one entry is left to callers.
    """
    places = generator.sample(ENTRIES + TARGETS + ENGINES, 2)
    return [_draw(generator, place, line=line) for place in places]


def _draw(generator, place, *, line):
    if place in ENGINES or generator.random() < 0.5:
        return (
            steps.Kill(line=line, place=place),
            steps.Restart(line=line, place=place),
        )
    return (
        steps.Freeze(line=line, place=place),
        steps.Thaw(line=line, place=place),
    )

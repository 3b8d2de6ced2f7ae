"""Search for a map that pays for its move, in short slices."""

import dataclasses

import numpy

from savoryyoke.groups import exceptions
from savoryyoke.groups.planning import candidates
from savoryyoke.groups.planning import conf
from savoryyoke.groups.planning import maps


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveCosts:
    """Say what moving weights costs and how long a gain lasts.

    ``slowdown`` is the share by which steps are slower while weights are
    loaded. ``loading_max_s`` bounds the loading of one plan, and
    ``rank_moves_max`` the weights that fit a rank's spare memory.
    """

    horizon_s: float = conf.HORIZON_S
    slowdown: float = conf.SLOWDOWN_WHILE_LOADING
    weight_bytes: int = conf.WEIGHT_BYTES
    store_bytes_per_s: float = conf.STORE_BYTES_PER_S
    loading_max_s: float = conf.LOADING_MAX_S
    rank_moves_max: int = conf.RANK_MOVES_MAX

    @property
    def moves_max(self):
        """Return how many weights one plan may move."""
        bytes_max = self.loading_max_s * self.store_bytes_per_s
        return int(bytes_max / self.weight_bytes)

    def find_loading_s(self, moves):
        """Return the time to load ``moves`` weights, in seconds."""
        return moves * self.weight_bytes / self.store_bytes_per_s

    def find_saving_s(self, *, gain, moves):
        """Return the seconds of service that a plan saves, if positive.

        ``gain`` is the share by which steps become faster.
        """
        loading_s = self.find_loading_s(moves)
        return gain * self.horizon_s - loading_s * self.slowdown


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapPlan:
    """Propose a map; ``moves`` is zero if keeping the present one is best.

    ``time_before`` and ``time_after`` are step times in tokens at speed 1.
    """

    expert_map: maps.ExpertMap
    moves: int
    time_before: float
    time_after: float
    saving_s: float

    @property
    def gain(self):
        """Return the share by which steps become faster."""
        if not self.time_before:
            return 0.0
        return 1 - self.time_after / self.time_before


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Stage:
    """Hold one layer after some changes, and its time."""

    experts: numpy.ndarray
    time: float
    moves: int


def search_map(present, loads, *, speeds=None, costs=MoveCosts()):
    """Search from the ``present`` map; a generator that yields None.

    Returns a MapPlan by StopIteration. The work between two yields is one
    improvement of one layer or one choice among the layers. ``loads`` has
    the shape (layers, experts) and is in tokens a step; ``speeds`` holds
    each rank's relative speed.
    """
    layers, ranks, _ = present.experts.shape
    if loads.shape != (layers, present.experts_count):
        raise exceptions.InvalidShape('loads do not fit the map')
    speeds = numpy.ones(ranks) if speeds is None else speeds
    paths = []
    for layer, layer_loads in zip(present.experts, loads):
        path = yield from _search_layer(layer, layer_loads, speeds, costs)
        paths.append(path)
    return (yield from _choose_stages(present, paths, costs))


def run_search(search):
    """Run a search to its end at once and return its MapPlan."""
    while True:
        try:
            next(search)
        except StopIteration as stop:
            return stop.value


def _search_layer(experts, loads, speeds, costs):
    present = experts
    time = maps.find_rank_times(experts, loads, speeds).max()
    path = [_Stage(experts=experts, time=time, moves=0)]
    for _ in range(conf.LAYER_MOVES_MAX):
        changes = candidates.improve(experts, loads, speeds)
        yield
        if not changes:
            break
        experts = experts.copy()
        for change in changes:
            experts[change.rank, change.slot] = change.expert
        moves = _count_layer_moves(present, experts)
        if moves > costs.moves_max:
            break
        time = maps.find_rank_times(experts, loads, speeds).max()
        path.append(_Stage(experts=experts, time=time, moves=moves))
    return path


def _count_layer_moves(former, following):
    changed = numpy.nonzero((former != following).any(axis=1))[0]
    return sum(
        len(set(following[rank].tolist()) - set(former[rank].tolist()))
        for rank in changed
    )


def _choose_stages(present, paths, costs):
    """Take the stages with the largest gain for each move while they pay."""
    total = sum(path[0].time for path in paths)
    chosen = [0] * len(paths)
    left = costs.moves_max
    rank_moves = numpy.zeros(present.experts.shape[1], dtype=int)
    options = {
        layer: _find_next(path, 0, left) for layer, path in enumerate(paths)
    }
    while options:
        yield
        layer = max(options, key=lambda each: (options[each].rate, -each))
        option = options[layer]
        if option.moves > left:
            options[layer] = _find_next(paths[layer], chosen[layer], left)
            continue
        following = rank_moves + _find_rank_moves(
            paths[layer], chosen[layer], option.place
        )
        fits = following.max() <= costs.rank_moves_max
        if not fits or not _pays(option, total, costs):
            del options[layer]
            continue
        rank_moves = following
        chosen[layer] = option.place
        left -= option.moves
        options[layer] = _find_next(paths[layer], option.place, left)
    stages = [path[place] for path, place in zip(paths, chosen)]
    return _make_plan(present, stages, total, costs)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Option:
    """Hold a later stage of one layer, compared with the chosen one."""

    place: int
    moves: int
    gain: float

    @property
    def rate(self):
        return self.gain / max(self.moves, 1)


def _pays(option, total, costs):
    if option.gain <= 0:
        return False
    saving_s = costs.find_saving_s(
        gain=option.gain / total, moves=option.moves
    )
    return saving_s > 0


def _find_next(path, start, left):
    """Return the _Option with the largest gain for each move."""
    options = [_Option(place=start, moves=0, gain=0.0)]
    for place in range(start + 1, len(path)):
        moves = path[place].moves - path[start].moves
        gain = path[start].time - path[place].time
        if moves <= left and gain > 0:
            options.append(_Option(place=place, moves=moves, gain=gain))
    return max(options, key=lambda option: (option.rate, option.place))


def _find_rank_moves(path, start, place):
    first = path[0].experts
    return _count_by_rank(first, path[place].experts) - _count_by_rank(
        first, path[start].experts
    )


def _count_by_rank(former, following):
    return numpy.array(
        [
            len(set(new) - set(old))
            for old, new in zip(former.tolist(), following.tolist())
        ]
    )


def _make_plan(present, stages, total, costs):
    time_after = sum(stage.time for stage in stages)
    moves = sum(stage.moves for stage in stages)
    gain = 1 - time_after / total if total else 0.0
    experts = numpy.stack([stage.experts for stage in stages])
    return MapPlan(
        expert_map=maps.ExpertMap(
            experts=experts, experts_count=present.experts_count
        ),
        moves=moves,
        time_before=total,
        time_after=time_after,
        saving_s=costs.find_saving_s(gain=gain, moves=moves),
    )

"""Search in short slices for a map that gains more than its moves cost."""

import dataclasses

import numpy

from savoryyoke.groups import exceptions
from savoryyoke.groups.planning import candidates
from savoryyoke.groups.planning import conf
from savoryyoke.groups.planning import maps


@dataclasses.dataclass(frozen=True, kw_only=True)
class MoveCosts:
    """Hold the costs and limits of moving weights.

    ``horizon_s`` is the time for which a gain is expected to last.
    ``slowdown`` is the share by which steps are slower while weights are
    loaded. Each move loads the weights of one expert in one layer, which
    have ``weight_bytes``. ``loading_max_s`` limits the time that all moves of
    a plan take, and ``rank_moves_max`` the moves that fit into the spare
    memory of one rank.
    """

    horizon_s: float = conf.HORIZON_S
    slowdown: float = conf.SLOWDOWN_WHILE_LOADING
    weight_bytes: int = conf.WEIGHT_BYTES
    store_bytes_per_s: float = conf.STORE_BYTES_PER_S
    loading_max_s: float = conf.LOADING_MAX_S
    rank_moves_max: int = conf.RANK_MOVES_MAX

    @property
    def moves_max(self):
        """Return the largest number of moves of one plan."""
        bytes_max = self.loading_max_s * self.store_bytes_per_s
        return int(bytes_max / self.weight_bytes)

    def find_loading_s(self, moves):
        """Return the time to load the weights of ``moves`` moves."""
        return moves * self.weight_bytes / self.store_bytes_per_s

    def find_saving_s(self, *, gain, moves):
        """Return the seconds that a plan saves; negative if it costs more.

        ``gain`` is the share by which steps become faster.
        """
        loading_s = self.find_loading_s(moves)
        return gain * self.horizon_s - loading_s * self.slowdown


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapPlan:
    """Propose a map; ``moves`` is zero if keeping the present one is best.

    ``moves`` counts the weights that all ranks together have to load.
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
    """Hold the state of one layer after some changes.

    ``time`` is the time of its slowest rank, in tokens at speed 1. ``moves``
    is the number of moves that lead to it from the present map.
    """

    experts: numpy.ndarray
    time: float
    moves: int


def search_map(present, loads, *, speeds=None, costs=MoveCosts()):
    """Search from the ``present`` map: yield None, return a MapPlan.

    The work between two yields is one change of one layer or the choice of
    one layer's stage. ``loads`` has the shape (layers, experts) and is in
    tokens per step; ``speeds`` holds the relative speed of each rank.

    Raises InvalidShape if the shapes of ``loads`` and the map differ.
    """
    layers, ranks, _ = present.experts.shape
    if loads.shape != (layers, present.experts_count):
        raise exceptions.InvalidShape(
            'loads must have the shape (layers, experts) of the map'
        )
    speeds = numpy.ones(ranks) if speeds is None else speeds
    stages_by_layer = []
    for layer_experts, layer_loads in zip(present.experts, loads):
        stages = yield from _search_layer(
            layer_experts, layer_loads, speeds, costs
        )
        stages_by_layer.append(stages)
    return (yield from _choose_stages(present, stages_by_layer, costs))


def run_search(search):
    """Run the generator of a search to its end and return its MapPlan."""
    while True:
        try:
            next(search)
        except StopIteration as stop:
            return stop.value


def _search_layer(experts, loads, speeds, costs):
    """Yield None after each change, return the list of _Stages."""
    present_experts = experts
    time = maps.find_rank_times(experts, loads, speeds).max()
    stages = [_Stage(experts=experts, time=time, moves=0)]
    for _ in range(conf.LAYER_CHANGES_MAX):
        replacements = candidates.find_best_change(experts, loads, speeds)
        yield
        if not replacements:
            break
        experts = experts.copy()
        for replacement in replacements:
            experts[replacement.rank, replacement.slot] = replacement.expert
        moves = _count_layer_moves(present_experts, experts)
        if moves > costs.moves_max:
            break
        time = maps.find_rank_times(experts, loads, speeds).max()
        stages.append(_Stage(experts=experts, time=time, moves=moves))
    return stages


def _count_layer_moves(old_experts, new_experts):
    changed_ranks = numpy.nonzero((old_experts != new_experts).any(axis=1))[0]
    return sum(
        len(set(new_experts[rank].tolist()) - set(old_experts[rank].tolist()))
        for rank in changed_ranks
    )


def _choose_stages(present, stages_by_layer, costs):
    """Yield None before each choice of a stage, return a MapPlan.

    Each choice takes the stage with the largest gain per move, as long as
    the gain outweighs the cost and the moves stay within the limits.
    """
    total_time = sum(stages[0].time for stages in stages_by_layer)
    chosen_by_layer = [0] * len(stages_by_layer)
    remaining_moves = costs.moves_max
    rank_moves = numpy.zeros(present.experts.shape[1], dtype=int)
    options_by_layer = {
        layer: _find_best_option(stages, 0, remaining_moves)
        for layer, stages in enumerate(stages_by_layer)
    }
    while options_by_layer:
        yield
        layer = max(
            options_by_layer,
            key=lambda candidate: (
                options_by_layer[candidate].gain_per_move,
                -candidate,
            ),
        )
        option = options_by_layer[layer]
        if option.moves > remaining_moves:
            options_by_layer[layer] = _find_best_option(
                stages_by_layer[layer], chosen_by_layer[layer], remaining_moves
            )
            continue
        new_rank_moves = rank_moves + _find_rank_moves(
            stages_by_layer[layer], chosen_by_layer[layer], option.stage
        )
        fits = new_rank_moves.max() <= costs.rank_moves_max
        if not fits or not _is_worthwhile(option, total_time, costs):
            del options_by_layer[layer]
            continue
        rank_moves = new_rank_moves
        chosen_by_layer[layer] = option.stage
        remaining_moves -= option.moves
        options_by_layer[layer] = _find_best_option(
            stages_by_layer[layer], option.stage, remaining_moves
        )
    chosen_stages = [
        stages[chosen]
        for stages, chosen in zip(stages_by_layer, chosen_by_layer)
    ]
    return _make_plan(present, chosen_stages, total_time, costs)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Option:
    """Compare a later stage of one layer with the stage chosen so far.

    ``stage`` is the index of the later stage, ``moves`` the number of further
    moves that it needs, and ``gain`` the time that it saves per step.
    """

    stage: int
    moves: int
    gain: float

    @property
    def gain_per_move(self):
        return self.gain / max(self.moves, 1)


def _is_worthwhile(option, total_time, costs):
    if option.gain <= 0:
        return False
    saving_s = costs.find_saving_s(
        gain=option.gain / total_time, moves=option.moves
    )
    return saving_s > 0


def _find_best_option(stages, start, remaining_moves):
    """Return the _Option from ``start`` on with the largest gain per move."""
    options = [_Option(stage=start, moves=0, gain=0.0)]
    for stage in range(start + 1, len(stages)):
        moves = stages[stage].moves - stages[start].moves
        gain = stages[start].time - stages[stage].time
        if moves <= remaining_moves and gain > 0:
            options.append(_Option(stage=stage, moves=moves, gain=gain))
    return max(
        options, key=lambda option: (option.gain_per_move, option.stage)
    )


def _find_rank_moves(stages, start, end):
    """Return each rank's additional moves from one stage to a later one."""
    present_experts = stages[0].experts
    return _count_moves_by_rank(
        present_experts, stages[end].experts
    ) - _count_moves_by_rank(present_experts, stages[start].experts)


def _count_moves_by_rank(old_experts, new_experts):
    return numpy.array(
        [
            len(set(new_rank_experts) - set(old_rank_experts))
            for old_rank_experts, new_rank_experts in zip(
                old_experts.tolist(), new_experts.tolist()
            )
        ]
    )


def _make_plan(present, stages, total_time, costs):
    time_after = sum(stage.time for stage in stages)
    moves = sum(stage.moves for stage in stages)
    gain = 1 - time_after / total_time if total_time else 0.0
    experts = numpy.stack([stage.experts for stage in stages])
    return MapPlan(
        expert_map=maps.ExpertMap(
            experts=experts, experts_count=present.experts_count
        ),
        moves=moves,
        time_before=total_time,
        time_after=time_after,
        saving_s=costs.find_saving_s(gain=gain, moves=moves),
    )

"""Defaults of the planning of expert maps."""

# Exponent of the norm that approximates the maximum of the ranks' times, so
# that ranks that are nearly as slow as the slowest one count as well.
NORM_EXPONENT = 32
# Number of successive changes that a search tries in one layer.
LAYER_CHANGES_MAX = 48

# How long a new map is expected to stay useful.
HORIZON_S = 120.0
# Share by which steps are slower while weights are loaded.
SLOWDOWN_WHILE_LOADING = 0.05
# Size of the weights of one expert in one layer.
WEIGHT_BYTES = 44_000_000
STORE_BYTES_PER_S = 1_000_000_000.0
# Longest time to load the weights of one plan.
LOADING_MAX_S = 4.0
# Number of experts whose weights one rank may load for one plan.
RANK_MOVES_MAX = 16

# Time constants of the exponential means of the loads.
LOAD_TIME_CONSTANTS_S = (4.0, 15.0, 60.0)
# Time ahead for which an estimate has to predict the loads.
FORECAST_LEAD_S = 20.0
# Time constant of the mean prediction errors.
ERROR_TIME_CONSTANT_S = 60.0
# Number of evaluated predictions before a jump of the loads can be detected.
JUMP_PREDICTIONS_MIN = 20
# A prediction error that exceeds the usual one by this factor is a jump.
JUMP_FACTOR = 2.0
# Shortest time between the starts of two searches.
PLAN_INTERVAL_S = 4.0
# A search starts if the step time divided by its lower bound reaches this.
STEP_TIME_RATIO_MIN = 1.03
# Share by which a proposed map must make steps faster.
GAIN_MIN = 0.02

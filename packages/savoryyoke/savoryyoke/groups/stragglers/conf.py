"""Defaults of straggler handling."""

EVIDENCE_TIME_CONSTANT_S = 10.0
EVIDENCE_MIN_REPORTS = 5.0
MIN_STANDARD_ERRORS = 4.0
# A rank takes part in the fit of the common line if the ratio of its time to
# the line differs from the median ratio by less than this share.
FIT_TOLERANCE = 0.1
FIT_ITERATIONS = 4
MIN_RELATIVE_LOAD_SPREAD = 0.02

# Ratios of a rank's time to the time that other ranks take for its load.
SLOW_TIME_RATIO = 1.15
HEALTHY_TIME_RATIO = 1.07
SLOW_AFTER_S = 10.0
HEALTHY_AFTER_S = 60.0
MAX_HEALTHY_AFTER_S = 1800.0
MIN_RELATIVE_SPEED_CHANGE = 0.1

STEP_TIME_LIMIT_S = 0.029
ACTION_INTERVAL_S = 30.0
MIN_BATCH_SHARE = 0.3
DRAIN_TIME_RATIO = 3.0

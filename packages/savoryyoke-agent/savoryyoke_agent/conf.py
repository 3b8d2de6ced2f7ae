"""Defaults of the agent."""

# A change is driven step by step, so agents look more often during one.
OBSERVE_CHANGING_S = 0.03
OBSERVE_IDLE_S = 0.1
# Most ranks of a large group have nothing to decide: each look takes 2 ms of
# processor time, and reports go out no more often than this.
OBSERVE_IDLE_LARGE_S = 0.2

# Directives and reports repeat at this pace when nothing changes.
REPEAT_S = 0.2

# A change in a large group takes no more than some 600 messages a second at
# the leader, where each takes 0.1 ms of a VM that has half a core.
CHANGING_REPEAT_PER_RANK_S = 0.0016

# A shift of demand shows in the counts within two of these. The reports of a
# large group's blocks, 3 to 5 KB each, then take a quarter of 4 Mbit/s.
COUNTS_S = 0.15
BLOCK_COUNTS_S = 0.3
PLAN_S = 0.1

# Bursts on a link of 4 Mbit/s lose what is above some 30 KB. Spaced messages
# leave a quarter of a link to everything else.
BURST_BYTES = 20_000
SPACED_LINK_SHARE = 0.75

# In a large group a map is 6 KB; it leaves the leader's link within 0.2 s and
# that of a block's first rank within 0.1 s.
MAP_PATIENCE_S = 0.05
BLOCK_MAP_PATIENCE_S = 0.4
# Maps that are asked for take at most half of a link of 4 Mbit/s.
MAP_PAUSE_S = 0.025
DELIVERY_LIMIT = 128

# The members of a group are looked up anew at this pace until all are
# known, and after one has not been heard.
MEMBERS_S = 1.0

# A replica on the same VM answers within a few milliseconds.
ENGINE_TIMEOUT_S = 0.3
REMOTE_TIMEOUT_S = 0.5

# A rank this much slower than usual holds its whole group up: entries are
# told at this interval, and place nothing there.
SLOW_PACE = 1.3
PACE_REPORT_S = 0.3

# A leader that stops ends the change under way first; one takes below half a
# second, and the platform kills a process only seconds after the signal.
STOP_CHANGE_S = 2.0

# The pace of passes is taken over this time.
PACE_WINDOW_S = 1.0

"""Constants of the agent."""

# Intervals between observations of the engine. A map change takes several
# steps that each need an observation, so agents observe more often during one.
OBSERVE_INTERVAL_CHANGING_S = 0.03
OBSERVE_INTERVAL_IDLE_S = 0.1
# For ranks of a large group that don't lead it. They rarely have anything to
# do, an observation costs 0.3 ms of processor time, and reports are sent no
# more often than this.
OBSERVE_INTERVAL_IDLE_LARGE_S = 0.2

# Unchanged directives and reports are repeated at this interval.
REPEAT_INTERVAL_S = 0.2

# The interval during a map change, per rank of the group. It limits messages
# to the leader to some 600 per second; each takes 0.1 ms of processor time on
# a VM that has half a core.
REPEAT_INTERVAL_CHANGING_PER_RANK_S = 0.0016

# Intervals between reports of expert choices. A shift of demand shows in the
# choices of two intervals. In a large group, where the reports of a block take
# 3 to 5 KB each, they use a quarter of a link of 4 Mbit/s.
COUNTS_INTERVAL_S = 0.15
COUNTS_INTERVAL_LARGE_S = 0.3
# Interval at which the leader searches for a better map.
PLAN_INTERVAL_S = 0.1

# A link drops what exceeds its queue, and a directive to all ranks uses a part
# of it. What takes longer than this on the own link is therefore paced, at a
# rate that leaves a quarter of the link to other traffic.
UNPACED_LINK_S = 0.016
PACED_LINK_SHARE = 0.75

# How long a rank waits for the map of a directive before it requests the map.
# In a large group the changes of a map take 1 to 4 KB, a whole map 6 KB; the
# leader sends either to all blocks within 0.1 s, and the first rank of a block
# forwards it as fast.
MAP_REQUEST_DELAY_S = 0.05
MAP_REQUEST_DELAY_LARGE_S = 0.4
# The first rank of a block requests it earlier, for its whole block.
MAP_REQUEST_DELAY_HEAD_S = 0.2
# Answers to map requests take at most half of a link of 4 Mbit/s.
MAP_ANSWER_INTERVAL_S = 0.025
DELIVERY_QUEUE_MAX_MESSAGES = 128

# The members of the group are read again at this interval while some are
# missing, or while a leader receives no reports from some.
MEMBERS_INTERVAL_S = 1.0

# An agent reads the members from the platform if no entry answers for this
# time, in which it asks about fifteen times. Entries restart within a second.
ENTRIES_TIMEOUT_S = 3.0

# An engine on the same VM answers within a few milliseconds.
ENGINE_TIMEOUT_S = 0.3
REMOTE_ENGINE_TIMEOUT_S = 0.5
# Time for the answer to an order to the own engine. The group may be held
# until all ranks are armed, so an order without an answer is repeated early.
ORDER_TIMEOUT_S = 0.1

# A rank with this slowdown (its time for a pass over the usual time) delays
# all passes of its group. It is reported to entries at this interval, so that
# they send its target no requests while most other ranks are faster.
MIN_REPORTED_SLOWDOWN = 1.3
SLOWDOWN_REPORT_INTERVAL_S = 0.3

# Interval between two log lines on the load of the own engine.
LOAD_LOG_INTERVAL_S = 1.0

# A leader that stops first completes the map change in progress. A change
# takes less than 0.5 s; the platform kills a process only several seconds
# after the signal.
STOP_CHANGE_TIMEOUT_S = 2.0

# The mean time of a pass is measured over this time.
PASS_TIME_WINDOW_S = 1.0

# Larger than any datagram of UDP over IPv4, so that none is truncated. What
# agents send has at most 8 KB.
DATAGRAM_LIMIT_BYTES = 64 * 1024 - 1
# Datagrams that are read before other tasks run. A second try would be one
# more system call for each datagram that arrives alone.
DATAGRAMS_PER_READ = 1

"""Run beside the engine of one rank and balance its group's experts.

``daemon.RankDaemon`` assembles the process; ``ports`` defines what the
adapter of a platform has to provide.
"""

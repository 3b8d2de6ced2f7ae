"""Coordination decisions for load balancers of expert-parallel groups.

Nothing in this package performs input or output. Feed the state machines
events and monotonic times, and carry out the decisions that they return.
"""

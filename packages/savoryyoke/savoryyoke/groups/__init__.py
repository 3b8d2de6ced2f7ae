"""Manage expert-parallel groups: expert maps, orders and slow ranks.

The ranks of a group run one model together, and its expert map assigns
experts to them.
"""

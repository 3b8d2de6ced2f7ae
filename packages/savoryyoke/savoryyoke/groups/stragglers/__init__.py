"""Detect the slow ranks of a group and reduce their effect.

Ranks that are late only because their experts are in high demand don't count
as slow.
"""

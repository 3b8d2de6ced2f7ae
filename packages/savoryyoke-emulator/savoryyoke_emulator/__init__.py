"""Emulate callers, entries and one group of engines in virtual time.

Entries place requests with ``savoryyoke.placement``, as the gateway does, so
that a policy can be evaluated in seconds. A run is determined by its seed.
"""

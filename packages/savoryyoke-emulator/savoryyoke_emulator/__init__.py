"""Emulate callers, entries and one group of engines in virtual time.

Entries place requests by ``savoryyoke.placement``, as the gateway does, so a
policy can be tried in seconds. Everything follows from the seed.
"""

"""Limit what a process holds of the input that it receives.

``limits`` derives the limits of a process from its memory and descriptors.
``budget`` and ``connections`` decide who is closed when room is short.
"""

"""Simulate the users' platform over its published protocol.

The fakes run in the event loop of the test and serve on loopback.
"""

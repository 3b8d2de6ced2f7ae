"""Decide at a target which calls are started, queued or refused."""

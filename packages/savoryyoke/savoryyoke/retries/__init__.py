"""Decide at an entry which failed or slow tries are repeated."""

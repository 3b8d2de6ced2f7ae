"""Decide at a target which calls start, wait or are refused."""

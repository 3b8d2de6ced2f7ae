"""Decide which processes of the fleet are alive."""

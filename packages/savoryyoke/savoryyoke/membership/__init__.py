"""Detect which processes of the fleet are alive."""

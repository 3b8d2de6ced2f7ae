"""Measure costs and policies by simulation and with real processes."""

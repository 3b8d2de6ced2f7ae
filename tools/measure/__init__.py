"""Measure policies by seeded simulations."""

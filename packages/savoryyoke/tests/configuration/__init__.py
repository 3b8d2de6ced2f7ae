"""Tests of the operators' file."""

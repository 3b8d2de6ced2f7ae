"""Tests of the command line of the target process."""

"""Tests of the binary of the target process."""

"""Enforce the rate limits of teams over all entries together."""

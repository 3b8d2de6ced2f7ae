"""Target process: the guard in front of one engine or service."""

"""Bring accepted configuration into force in every process."""

"""Distribute configuration and put it into force in every process."""

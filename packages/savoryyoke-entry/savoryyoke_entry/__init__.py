"""Entry daemon and operator commands."""

"""Change the expert map of a group whose ranks run in lock-step."""

"""Running of a binary's commands, each failure told in one clear line."""

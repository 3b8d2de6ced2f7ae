"""Settings of the processes, read from flags and the environment."""

"""Settings of the daemons, read from flags and the environment."""

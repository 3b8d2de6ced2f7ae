"""Define the configuration in use: routes, services, teams and limits."""

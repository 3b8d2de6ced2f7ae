"""Run the checks and measurements of the workspace."""

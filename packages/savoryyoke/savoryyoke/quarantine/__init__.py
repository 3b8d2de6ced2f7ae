"""Detect and stop requests that crash the back ends they run on."""

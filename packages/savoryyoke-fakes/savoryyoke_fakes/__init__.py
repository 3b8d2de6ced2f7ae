"""Simulate model engines, application services and the platform."""

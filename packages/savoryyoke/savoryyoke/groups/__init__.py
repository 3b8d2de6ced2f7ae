"""Run expert-parallel groups: their maps, their orders and their ranks."""

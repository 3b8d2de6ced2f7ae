"""Run scripted scenarios of failures and check what is promised."""

"""Rebalancing after a cold restart: a story on loopback, and the planner alone in a large simulation."""

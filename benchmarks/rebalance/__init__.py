"""Rebalancing after a cold restart: the story on loopback, and the planner alone at size."""

"""Rebalancing: which established connections to move to other servers, when, and at what rate."""

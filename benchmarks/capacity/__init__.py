"""Capacity planning: computes docs/CAPACITY.md from committed results and a fleet's targets."""

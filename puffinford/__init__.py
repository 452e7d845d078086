"""Decisions of a balancer that places long-lived connections."""

from puffinford.balance import Balancer
from puffinford.interface import Settings

__all__ = ["Balancer", "Settings"]

"""A load balancer for long-lived connections; this package exports its decision module."""

from puffinford.balance import Balancer
from puffinford.interface import Settings

__all__ = ["Balancer", "Settings"]

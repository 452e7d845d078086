"""Decisions of a balancer that places long-lived connections."""

from tamarindhub.balance import Balancer
from tamarindhub.interface import Settings

__all__ = ["Balancer", "Settings"]

"""Reads the operators' settings file: one setting per line, in sections, validated into typed values."""

from puffinford.operators.lines import BadSettings
from puffinford.operators.loading import DEFAULT_FILE, LoadedSettings, load_settings
from puffinford.operators.schema import (
    ChannelSettings,
    DiscoverySettings,
    OperatorSettings,
    RebalanceSettings,
    RelaySettings,
    StateSettings,
)

__all__ = [
    "DEFAULT_FILE",
    "BadSettings",
    "ChannelSettings",
    "DiscoverySettings",
    "LoadedSettings",
    "OperatorSettings",
    "RebalanceSettings",
    "RelaySettings",
    "StateSettings",
    "load_settings",
]

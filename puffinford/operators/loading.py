"""Loads and validates the settings file into typed values, and records where each value was set."""

from __future__ import annotations

from dataclasses import dataclass, field
from difflib import get_close_matches
from pathlib import Path
from typing import Any

from puffinford.operators import units
from puffinford.operators.lines import BadSettings, Location, SettingsReader, Word
from puffinford.operators.schema import (
    MAX_LIST_AGE_MS,
    RELAY_ANSWER_GRACE_MS,
    SECTIONS,
    OperatorSettings,
    RelaySettings,
    keywords,
)

DEFAULT_FILE = Path("deploy/puffinford.conf")


@dataclass(frozen=True)
class LoadedSettings:
    """The settings in effect; `origins` locates each value that a file sets, by section and keyword."""

    settings: OperatorSettings = field(default_factory=OperatorSettings)
    origins: dict[tuple[str, str], Location] = field(default_factory=dict)
    files: tuple[str, ...] = ()

    def table(self) -> list[tuple[str, str, str, str, str]]:
        """Section, keyword, value, location (or `default`) and documentation of each setting."""
        rows = []
        for section in SECTIONS:
            values = getattr(self.settings, section)
            for keyword, entry in keywords(section).items():
                value = entry.metadata["show"](getattr(values, entry.name))
                origin = self.origins.get((section, keyword))
                rows.append((section, keyword, value, str(origin or "default"), entry.metadata["doc"]))
        return rows


def _suggestion(word: str, known: list[str]) -> str:
    close = get_close_matches(word, known, 1)
    return f"; did you mean {close[0]!r}?" if close else ""


class _Validator:
    """Validates lines one by one and collects values and errors."""

    def __init__(self, errors: list[str]) -> None:
        self.errors = errors
        self.values: dict[str, dict[str, Any]] = {name: {} for name in SECTIONS}
        self.origins: dict[tuple[str, str], Location] = {}
        self._section: str | None = None
        self._in_section = False

    def add_line(self, words: list[Word]) -> None:
        first, values = words[0], words[1:]
        if first.text == "section":
            self._enter_section(first, values)
        elif not self._in_section:
            self.errors.append(f"{first.location}: {first.text!r} is before any section")
        elif self._section is not None:
            self._set_value(self._section, first, values)

    def _enter_section(self, first: Word, values: list[Word]) -> None:
        self._in_section, self._section = True, None
        if len(values) != 1:
            self.errors.append(f"{first.location}: section takes one name")
        elif values[0].text not in SECTIONS:
            suggestion = _suggestion(values[0].text, list(SECTIONS))
            self.errors.append(f"{values[0].location}: no section {values[0].text!r}{suggestion}")
        else:
            self._section = values[0].text

    def _set_value(self, section: str, first: Word, values: list[Word]) -> None:
        known = keywords(section)
        entry = known.get(first.text)
        if entry is None:
            suggestion = _suggestion(first.text, list(known))
            self.errors.append(f"{first.location}: section {section} has no {first.text!r}{suggestion}")
            return
        if len(values) != 1:
            location = values[1].location if values else first.location
            self.errors.append(f"{location}: {first.text} takes one value")
            return
        earlier = self.origins.get((section, first.text))
        if earlier is not None and earlier.file == first.location.file:
            # Prevents a repeated line from being overlooked. A later file may override an earlier one.
            self.errors.append(f"{first.location}: {first.text} is set at {earlier} already")
            return
        try:
            self.values[section][entry.name] = entry.metadata["read"](values[0].text)
        except ValueError as exc:
            self.errors.append(f"{values[0].location}: {first.text}: {exc}")
            return
        self.origins[section, first.text] = first.location


def load_settings(path: Path = DEFAULT_FILE) -> LoadedSettings:
    """Load and validate a file; raises BadSettings with every error. The default file may be missing."""
    if path == DEFAULT_FILE and not path.exists():
        return LoadedSettings()
    reader = SettingsReader()
    validator = _Validator(reader.errors)
    for words in reader.read(path):
        validator.add_line(words)
    if not reader.errors:
        _check_relations(validator)
    if reader.errors:
        raise BadSettings(reader.errors)
    sections = {name: section(**validator.values[name]) for name, section in SECTIONS.items()}
    return LoadedSettings(OperatorSettings(**sections), validator.origins, tuple(reader.files))


def _check_relations(validator: _Validator) -> None:
    """Check relations between values."""
    for section, lower, upper, comparison in (
        ("state", "fresh", "distrust", "longer"),
        ("rebalance", "stop-at", "start-at", "more"),
        ("rebalance", "least-rate", "start-rate", "more"),
        ("rebalance", "start-rate", "most-rate", "more"),
    ):
        settings = SECTIONS[section](**validator.values[section])
        if getattr(settings, lower.replace("-", "_")) >= getattr(settings, upper.replace("-", "_")):
            location = validator.origins.get((section, upper)) or validator.origins[section, lower]
            validator.errors.append(f"{location}: {upper} must be {comparison} than {lower}")
    _check_relay_ages(validator)


def _check_relay_ages(validator: _Validator) -> None:
    """Check that a relay's list stays within the age limit of all tiers, and is confirmed often enough."""
    relay = RelaySettings(**validator.values["relay"])
    show = units.show_duration
    if relay.max_age + relay.upstream_age > MAX_LIST_AGE_MS:
        location = validator.origins.get(("relay", "upstream-age")) or validator.origins["relay", "max-age"]
        ages = f"{show(relay.max_age)} and {show(relay.upstream_age)}"
        validator.errors.append(
            f"{location}: the ages add: max-age and upstream-age, {ages}, "
            f"must not exceed {show(MAX_LIST_AGE_MS)}"
        )
    if relay.max_age < 2 * relay.wait + RELAY_ANSWER_GRACE_MS:
        location = validator.origins.get(("relay", "max-age")) or validator.origins["relay", "wait"]
        validator.errors.append(
            f"{location}: max-age must be twice wait plus {show(RELAY_ANSWER_GRACE_MS)} or more, "
            f"here {show(2 * relay.wait + RELAY_ANSWER_GRACE_MS)}"
        )

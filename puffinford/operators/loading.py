"""From the operators' file to typed values, with where each comes from."""

from __future__ import annotations

from dataclasses import dataclass, field
from difflib import get_close_matches
from pathlib import Path
from typing import Any

from puffinford.operators import units
from puffinford.operators.lines import BadSettings, Place, Reader, Word
from puffinford.operators.schema import (
    LIST_AGE_MOST,
    RELAY_ANSWER_GRACE_MS,
    SECTIONS,
    OperatorSettings,
    RelaySettings,
    keywords,
)

DEFAULT_FILE = Path("deploy/puffinford.conf")


@dataclass(frozen=True)
class LoadedSettings:
    """What is in force; `origins` holds the place of each value that a file sets, by section and keyword."""

    settings: OperatorSettings = field(default_factory=OperatorSettings)
    origins: dict[tuple[str, str], Place] = field(default_factory=dict)
    files: tuple[str, ...] = ()

    def table(self) -> list[tuple[str, str, str, str, str]]:
        """Section, keyword, value, place (or `default`) and documentation of each setting."""
        rows = []
        for section in SECTIONS:
            held = getattr(self.settings, section)
            for keyword, entry in keywords(section).items():
                value = entry.metadata["show"](getattr(held, entry.name))
                origin = self.origins.get((section, keyword))
                rows.append((section, keyword, value, str(origin or "default"), entry.metadata["doc"]))
        return rows


def _near(word: str, known: list[str]) -> str:
    close = get_close_matches(word, known, 1)
    return f"; did you mean {close[0]!r}?" if close else ""


class _Checker:
    """Takes lines of words and gathers values and errors."""

    def __init__(self, errors: list[str]) -> None:
        self.errors = errors
        self.values: dict[str, dict[str, Any]] = {name: {} for name in SECTIONS}
        self.origins: dict[tuple[str, str], Place] = {}
        self._section: str | None = None
        self._in_section = False

    def take(self, words: list[Word]) -> None:
        first, values = words[0], words[1:]
        if first.text == "section":
            self._enter(first, values)
        elif not self._in_section:
            self.errors.append(f"{first.place}: {first.text!r} stands before any section")
        elif self._section is not None:
            self._set(self._section, first, values)

    def _enter(self, first: Word, values: list[Word]) -> None:
        self._in_section, self._section = True, None
        if len(values) != 1:
            self.errors.append(f"{first.place}: section takes one name")
        elif values[0].text not in SECTIONS:
            near = _near(values[0].text, list(SECTIONS))
            self.errors.append(f"{values[0].place}: no section {values[0].text!r}{near}")
        else:
            self._section = values[0].text

    def _set(self, section: str, first: Word, values: list[Word]) -> None:
        known = keywords(section)
        entry = known.get(first.text)
        if entry is None:
            near = _near(first.text, list(known))
            self.errors.append(f"{first.place}: section {section} has no {first.text!r}{near}")
            return
        if len(values) != 1:
            place = values[1].place if values else first.place
            self.errors.append(f"{place}: {first.text} takes one value")
            return
        earlier = self.origins.get((section, first.text))
        if earlier is not None and earlier.file == first.place.file:
            # Guards against the line that somebody overlooks. A later file may overrule an earlier one.
            self.errors.append(f"{first.place}: {first.text} is set at {earlier} already")
            return
        try:
            self.values[section][entry.name] = entry.metadata["read"](values[0].text)
        except ValueError as exc:
            self.errors.append(f"{values[0].place}: {first.text}: {exc}")
            return
        self.origins[section, first.text] = first.place


def load_settings(path: Path = DEFAULT_FILE) -> LoadedSettings:
    """Read and check a file whole; raises BadSettings with every error. The default file may be missing."""
    if path == DEFAULT_FILE and not path.exists():
        return LoadedSettings()
    reader = Reader()
    checker = _Checker(reader.errors)
    for words in reader.read(path):
        checker.take(words)
    if not reader.errors:
        _check_together(checker)
    if reader.errors:
        raise BadSettings(reader.errors)
    made = {name: kind(**checker.values[name]) for name, kind in SECTIONS.items()}
    return LoadedSettings(OperatorSettings(**made), checker.origins, tuple(reader.files))


def _check_together(checker: _Checker) -> None:
    """What no value can be checked for alone."""
    for section, lower, upper, what in (
        ("state", "fresh", "distrust", "longer"),
        ("rebalance", "stop-at", "start-at", "more"),
        ("rebalance", "least-rate", "start-rate", "more"),
        ("rebalance", "start-rate", "most-rate", "more"),
    ):
        held = SECTIONS[section](**checker.values[section])
        if getattr(held, lower.replace("-", "_")) >= getattr(held, upper.replace("-", "_")):
            place = checker.origins.get((section, upper)) or checker.origins[section, lower]
            checker.errors.append(f"{place}: {upper} must be {what} than {lower}")
    _check_ages(checker)


def _check_ages(checker: _Checker) -> None:
    """A relay's list: no older than the budget through all tiers, and confirmed often enough to be served."""
    relay = RelaySettings(**checker.values["relay"])
    show = units.show_duration
    if relay.max_age + relay.upstream_age > LIST_AGE_MOST:
        place = checker.origins.get(("relay", "upstream-age")) or checker.origins["relay", "max-age"]
        told = f"{show(relay.max_age)} and {show(relay.upstream_age)}"
        checker.errors.append(
            f"{place}: the ages add: max-age and upstream-age, {told}, must not pass {show(LIST_AGE_MOST)}"
        )
    if relay.max_age < 2 * relay.wait + RELAY_ANSWER_GRACE_MS:
        place = checker.origins.get(("relay", "max-age")) or checker.origins["relay", "wait"]
        checker.errors.append(
            f"{place}: max-age must be twice wait and {show(RELAY_ANSWER_GRACE_MS)} or more, "
            f"here {show(2 * relay.wait + RELAY_ANSWER_GRACE_MS)}"
        )

"""Splits the settings file into lines of words with their locations, and follows `include`.

Lines are parsed by a lark grammar.
"""

from __future__ import annotations

import glob
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

from puffinford.regular_file import read_regular_file

MAX_FILE_BYTES = 1 << 20
MAX_FILES = 256  # including the included ones
MAX_SETTINGS_CHARACTERS = 1 << 14  # of all lines that are not blank, in all files: they are parsed one by one
MAX_INCLUDE_DEPTH = 8

_GRAMMAR = r"""
    start: word*
    ?word: QUOTED -> quoted
         | BARE -> bare
    QUOTED: /"(\\["\\]|[^"\\])*"/
    BARE: /[^\s#"]+/
    COMMENT: /#.*/
    %ignore COMMENT
    %ignore /[ \t\r\f]+/
"""


@dataclass(frozen=True, slots=True)
class Location:
    """A position in a settings file; line and column count from 1."""

    file: str
    line: int
    column: int = 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Word:
    """One word of a line, without its quotes."""

    text: str
    location: Location


class BadSettings(Exception):
    """The settings file is invalid; `errors` holds every reason, each with its location."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


@cache
def _parser() -> Any:
    # Imported late: the import is slow, and a file without settings does not need it.
    from lark import Lark

    return Lark(_GRAMMAR, parser="lalr")


def _words(text: str, file: str, number: int) -> list[Word]:
    """Split one line into words; raises BadSettings."""
    from lark import UnexpectedInput

    try:
        tree = _parser().parse(text)
    except UnexpectedInput as exc:
        reason = (
            "a quote that does not end" if text[exc.column - 1 : exc.column] == '"' else "cannot be parsed"
        )
        raise BadSettings([f"{Location(file, number, exc.column)}: {reason}"]) from None
    words = []
    for node in tree.children:
        token = node.children[0]
        unquoted = str(token)
        if node.data == "quoted":
            unquoted = unquoted[1:-1].replace('\\"', '"').replace("\\\\", "\\")
        words.append(Word(unquoted, Location(file, number, token.column)))
    return words


def _is_blank(text: str) -> bool:
    """Whether a line is blank or a comment."""
    stripped = text.strip()
    return not stripped or stripped.startswith("#")


class SettingsReader:
    """Reads a file and its includes; after an error reading goes on, and `errors` collects them all."""

    def __init__(self) -> None:
        self.errors: list[str] = []
        self.files: list[str] = []
        self._open: list[Path] = []  # the files being read, outermost first
        self._characters_left = MAX_SETTINGS_CHARACTERS
        self._bytes_left = MAX_FILE_BYTES  # of all files

    def read(self, path: Path) -> Iterator[list[Word]]:
        """Yield the lines that are not blank; those of included files replace the `include` line."""
        self.files.append(str(path))
        try:
            raw = read_regular_file(path, self._bytes_left)
            text = raw.decode("utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            self.errors.append(f"{path}: {exc}")
            return
        self._bytes_left -= len(raw)
        self._open.append(path.resolve())
        for number, line in enumerate(text.split("\n"), 1):
            if _is_blank(line):
                continue
            self._characters_left -= len(line)
            if self._characters_left < 0:
                # Prevents a reload from holding every line while it parses a file that is no settings file.
                location = Location(str(path), number)
                self.errors.append(f"{location}: over {MAX_SETTINGS_CHARACTERS} characters of settings")
                break
            try:
                words = _words(line, str(path), number)
            except BadSettings as exc:
                self.errors += exc.errors
                continue
            if words[0].text == "include":
                yield from self._include(words, path)
            else:
                yield words
        self._open.pop()

    def _include(self, words: list[Word], within: Path) -> Iterator[list[Word]]:
        if len(words) != 2:
            self.errors.append(f"{words[0].location}: include takes one pattern")
            return
        # A pattern may match no file: conf.d may be empty.
        pattern = str(within.parent / words[1].text)
        found = sorted(glob.glob(pattern))
        if not found and not glob.has_magic(pattern):
            self.errors.append(f"{words[1].location}: no file {words[1].text!r}")
        for name in found:
            path = Path(name)
            if path.resolve() in self._open:
                self.errors.append(f"{words[1].location}: {name} includes itself")
            elif len(self._open) >= MAX_INCLUDE_DEPTH or len(self.files) >= MAX_FILES:
                self.errors.append(f"{words[1].location}: too many includes")
                return
            else:
                yield from self.read(path)

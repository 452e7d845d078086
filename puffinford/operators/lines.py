"""The operators' file as lines of words, each with its place. Grammar by lark; `include` is followed here."""

from __future__ import annotations

import glob
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

FILE_MOST = 1 << 20  # bytes of a file
FILES_MOST = 256  # files, includes among them
DEPTH_MOST = 8  # includes within includes

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
class Place:
    """Where something stands: file, line and column, from 1."""

    file: str
    line: int
    column: int = 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Word:
    text: str
    place: Place


class BadSettings(Exception):
    """The operators' file cannot be used; `errors` holds all reasons, each with its place."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


@cache
def _parser() -> Any:
    # 4 MB and 15 ms: only a file that sets something pays for it.
    from lark import Lark

    return Lark(_GRAMMAR, parser="lalr")


def _words(text: str, file: str, number: int) -> list[Word]:
    """The words of one line; raises BadSettings."""
    from lark import UnexpectedInput

    try:
        tree = _parser().parse(text)
    except UnexpectedInput as exc:
        what = "a quote that does not end" if text[exc.column - 1 : exc.column] == '"' else "cannot be read"
        raise BadSettings([f"{Place(file, number, exc.column)}: {what}"]) from None
    made = []
    for node in tree.children:
        token = node.children[0]
        word = str(token)
        if node.data == "quoted":
            word = word[1:-1].replace('\\"', '"').replace("\\\\", "\\")
        made.append(Word(word, Place(file, number, token.column)))
    return made


def _bare(text: str) -> bool:
    """Whether a line sets nothing."""
    stripped = text.strip()
    return not stripped or stripped.startswith("#")


class Reader:
    """Reads a file and what it includes; `errors` gathers what is wrong, and reading goes on."""

    def __init__(self) -> None:
        self.errors: list[str] = []
        self.files: list[str] = []
        self._open: list[Path] = []

    def read(self, path: Path) -> Iterator[list[Word]]:
        """The lines that set something, those of included files in their place."""
        self.files.append(str(path))
        try:
            with open(path, "rb") as source:
                raw = source.read(FILE_MOST + 1)
            text = raw.decode("utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            self.errors.append(f"{path}: {exc}")
            return
        if len(raw) > FILE_MOST:
            self.errors.append(f"{path}: longer than {FILE_MOST} bytes")
            return
        self._open.append(path.resolve())
        for number, line in enumerate(text.split("\n"), 1):
            if _bare(line):
                continue
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
            self.errors.append(f"{words[0].place}: include takes one pattern")
            return
        # A pattern that names no file is none yet: conf.d may be empty.
        pattern = str(within.parent / words[1].text)
        found = sorted(glob.glob(pattern))
        if not found and not glob.has_magic(pattern):
            self.errors.append(f"{words[1].place}: no file {words[1].text!r}")
        for name in found:
            path = Path(name)
            if path.resolve() in self._open:
                self.errors.append(f"{words[1].place}: {name} includes itself")
            elif len(self._open) >= DEPTH_MOST or len(self.files) >= FILES_MOST:
                self.errors.append(f"{words[1].place}: too many includes")
                return
            else:
                yield from self.read(path)

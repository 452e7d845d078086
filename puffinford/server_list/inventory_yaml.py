"""Parses the YAML of an inventory, whatever it holds, into mappings that know the lines of their keys."""

from __future__ import annotations

import binascii
from typing import Any

import yaml
from yaml._yaml import CParser
from yaml.composer import Composer
from yaml.constructor import ConstructorError, SafeConstructor
from yaml.events import AliasEvent
from yaml.resolver import Resolver

LINES = "__lines__"  # key under which a mapping holds the line numbers of its keys
MAX_NODES = 200_000  # in the document with every alias replaced by what it stands for
MAX_SCALAR_CHARACTERS = 4_096  # of one key or value
MAX_SHOWN_CHARACTERS = 60  # of a value in an error
_MERGE_TAG = "tag:yaml.org,2002:merge"
# What the constructors of the standard tags raise for a text that is no value of the tag.
_CONSTRUCTION_ERRORS = (
    ArithmeticError, AttributeError, LookupError, TypeError, ValueError, binascii.Error,
)  # fmt: skip


def parse(text: str) -> Any:
    """Return the only document of a text; raises yaml.YAMLError or RecursionError."""
    loader = _Loader(text)
    try:
        return loader.get_single_data()
    finally:
        loader.dispose()


class _Loader(Composer, CParser, SafeConstructor, Resolver):
    """The safe loader on the scanner of libyaml, with bounds on what a small text can expand to.

    Each mapping gets the line numbers of its keys, and no key may be listed twice.
    """

    def __init__(self, text: str) -> None:
        CParser.__init__(self, text)
        Composer.__init__(self)
        SafeConstructor.__init__(self)
        Resolver.__init__(self)
        self._nodes = 0
        self._sizes: dict[int, int] = {}  # number of nodes in each finished node, by its identity

    def compose_node(self, parent: Any, index: Any) -> Any:
        """Compose the next node, and count what it expands to.

        Prevents aliases of aliases from growing without limit when groups or merged keys are walked.
        """
        before = self._nodes
        is_alias = self.check_event(AliasEvent)
        event: Any = self.peek_event()
        node = super().compose_node(parent, index)
        if not is_alias:
            self._nodes += 1
            self._sizes[id(node)] = self._nodes - before
        elif id(node) in self._sizes:
            self._nodes += self._sizes[id(node)]
        else:
            raise ConstructorError(None, None, "an alias stands for what holds it", event.start_mark)
        if self._nodes > MAX_NODES:
            problem = f"more than {MAX_NODES} values, with its aliases"
            raise ConstructorError(None, None, problem, event.start_mark)
        return node

    def compose_scalar_node(self, anchor: Any) -> Any:
        node = super().compose_scalar_node(anchor)
        if len(node.value) > MAX_SCALAR_CHARACTERS:
            problem = f"{_shown(node)} has more than {MAX_SCALAR_CHARACTERS} characters"
            raise ConstructorError(None, None, problem, node.start_mark)
        return node

    def construct_object(self, node: Any, deep: bool = False) -> Any:
        """Construct a value; raises ConstructorError with its place for any text that is not one."""
        try:
            return super().construct_object(node, deep)
        except _CONSTRUCTION_ERRORS:
            problem = f"{_shown(node)} is no value of {node.tag}"
            raise ConstructorError(None, None, problem, node.start_mark) from None

    def construct_mapping(self, node: Any, deep: bool = False) -> dict[Any, Any]:
        # Taken before the construction adds merged keys to the node, which the mapping's own ones override.
        own_keys = [key for key, _ in node.value] if isinstance(node, yaml.MappingNode) else []
        for key in own_keys:
            if not isinstance(key, yaml.ScalarNode):
                raise ConstructorError(None, None, f"{_shown(key)} stands as a key", key.start_mark)
        mapping = super().construct_mapping(node, deep)
        mapping[LINES] = self._lines_of_keys(own_keys)
        return mapping

    def _lines_of_keys(self, keys: list[yaml.ScalarNode]) -> dict[Any, int]:
        """Line numbers by key; raises ConstructorError for a key that stands twice.

        Prevents the last of two hosts of one name from being taken without a word.
        """
        lines: dict[Any, int] = {}
        for key in keys:
            value = key.value if key.tag == _MERGE_TAG else self.construct_object(key)
            if value in lines:
                raise ConstructorError(None, None, f"{_shown(key)} is listed twice", key.start_mark)
            lines[value] = key.start_mark.line + 1
        return lines


def _shown(node: Any) -> str:
    """The value of a node for an error: its text, or its kind."""
    if not isinstance(node, yaml.ScalarNode):
        return f"a {node.id}"
    text = repr(node.value[:MAX_SHOWN_CHARACTERS])
    return text if len(node.value) <= MAX_SHOWN_CHARACTERS else f"{text}..."

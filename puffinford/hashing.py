"""Numbers that are the same in every process. They decide nothing."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b


def stable_hash(text: str) -> int:
    """The same 64-bit number in every process, unlike hash()."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def scrambled(number: int) -> int:
    """A 64-bit number, spread evenly whatever pattern the keys have (splitmix64's finalizer)."""
    number = (number ^ (number >> 31)) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    number = (number ^ (number >> 29)) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return number ^ (number >> 32)


def scrambled_all(number: int, others: Sequence[int]) -> list[int]:
    """`scrambled` of the number with each of the others, in their order, without a call for each.

    Each is xored with the number first.
    """
    first, second, word = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9, 0xFFFFFFFFFFFFFFFF
    both = [number ^ other for other in others]
    both = [(one ^ (one >> 31)) * first & word for one in both]
    both = [(one ^ (one >> 29)) * second & word for one in both]
    return [one ^ (one >> 32) for one in both]


def hash_fraction(number: int) -> float:
    """A number from 0 to below 1, spread as evenly."""
    return scrambled(number) / 2.0**64

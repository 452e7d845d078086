"""Hashes that are the same in every process, unlike `hash`."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b


def stable_hash(text: str) -> int:
    """The 64-bit BLAKE2b hash of a text."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def mix64(number: int) -> int:
    """Mix the bits of a 64-bit number (a variant of the finalizer of splitmix64)."""
    number = (number ^ (number >> 31)) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    number = (number ^ (number >> 29)) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return number ^ (number >> 32)


def mix64_all(number: int, others: Sequence[int]) -> list[int]:
    """`mix64(number ^ other)` for each of `others`, without a function call for each."""
    first, second, mask = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9, 0xFFFFFFFFFFFFFFFF
    mixed = [number ^ other for other in others]
    mixed = [(value ^ (value >> 31)) * first & mask for value in mixed]
    mixed = [(value ^ (value >> 29)) * second & mask for value in mixed]
    return [value ^ (value >> 32) for value in mixed]


def hash_fraction(number: int) -> float:
    """Hash a 64-bit number to the range from 0 to below 1."""
    return mix64(number) / 2.0**64

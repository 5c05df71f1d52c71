"""Generates cells from the registered faults and steps."""

import itertools
import random

from bramleypin.matrix import cell
from bramleypin.matrix import registries


def singles(seed: int = 1) -> list[cell.CellSpec]:
    """Return a cell for every fault at every step."""
    return [
        cell.CellSpec((fault,), step, seed)
        for fault in sorted(registries.FAULTS.entry_by_name)
        for step in registries.STEPS.entry_by_name
    ]


def pairs(seed: int = 1) -> list[cell.CellSpec]:
    """Return a cell for every step and ordered pair of different faults."""
    names = sorted(registries.FAULTS.entry_by_name)
    return [
        cell.CellSpec(pair, step, seed)
        for pair in itertools.permutations(names, 2)
        for step in registries.STEPS.entry_by_name
    ]


def sample_of_pairs(count: int, seed: int = 1) -> list[cell.CellSpec]:
    """Return a random sample of the pairs, determined by the seed."""
    all_pairs = pairs(seed)
    count = min(count, len(all_pairs))
    return random.Random(f"pairs {seed}").sample(all_pairs, count)

"""Which cells there are, generated from the registries."""

import itertools
import random

from bramleypin.matrix import cell
from bramleypin.matrix import registries


def singles(seed: int = 1) -> list[cell.CellSpec]:
    """Return every fault at every step."""
    return [
        cell.CellSpec((fault,), step, seed)
        for fault in sorted(registries.FAULTS.entry_by_name)
        for step in registries.STEPS.entry_by_name
    ]


def pairs(seed: int = 1) -> list[cell.CellSpec]:
    """Return every ordered pair of different faults at every step."""
    names = sorted(registries.FAULTS.entry_by_name)
    return [
        cell.CellSpec(both, step, seed)
        for both in itertools.permutations(names, 2)
        for step in registries.STEPS.entry_by_name
    ]


def sample_of_pairs(count: int, seed: int = 1) -> list[cell.CellSpec]:
    """Return a sample of the pairs, the same one for the same seed."""
    everything = pairs(seed)
    count = min(count, len(everything))
    return random.Random(f"pairs {seed}").sample(everything, count)

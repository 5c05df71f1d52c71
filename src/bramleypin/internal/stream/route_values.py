"""Checks the values of routes that somebody else has written."""

import math

from bramleypin.internal.stream import view

# Bounds of a route's values. A value outside them is an error of its writer.
MAX_PRIORITY = 1_000
MAX_WEIGHT = 1e9
MAX_TIME_S = 86_400.0


def checked(route: view.Route) -> view.Route:
    """Return a route whose values are valid.

    :raises ValueError: when a weight, time or priority is out of its bounds,
        or the weights add up to 0; it names the route, the key and the value.
    """
    weights = [weight for _, weight in route.weight_by_service]
    total = sum(weights) if weights else 1.0
    for key, value, maximum in (
        ("priority", route.priority, MAX_PRIORITY),
        ("timeout_s", route.timeout_s, MAX_TIME_S),
        ("latency_objective_s", route.latency_objective_s, MAX_TIME_S),
        *(("weight", weight, MAX_WEIGHT) for weight in weights),
    ):
        if not (math.isfinite(value) and 0 <= value <= maximum):
            raise ValueError(
                f"route {route.name!r}: {key} is {value!r}, write a number "
                f"from 0 to {maximum:g}"
            )
    if total <= 0:
        raise ValueError(
            f"route {route.name!r}: the weights add up to {total!r}, write at "
            "least one above 0"
        )
    return route

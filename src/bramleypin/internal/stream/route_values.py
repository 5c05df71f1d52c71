"""Checks the values of routes that somebody else has written."""

import dataclasses
import math

from bramleypin.internal.stream import view


def checked(route: view.Route) -> view.Route:
    """Return a route whose values are valid.

    Priority 0 is the highest; there is no lowest one. Times and weights have
    no upper bound but the range of a 64-bit floating-point number. Weights
    whose sum exceeds it are scaled down.

    :raises ValueError: when a weight, time or priority is negative, or the
        weights add up to 0; it names the route, the key and the value.
    """
    weights = [weight for _, weight in route.weight_by_service]
    for key, value in (
        ("priority", route.priority),
        ("timeout_s", route.timeout_s),
        ("latency_objective_s", route.latency_objective_s),
        *(("weight", weight) for weight in weights),
    ):
        if value < 0:
            raise ValueError(
                f"route {route.name!r}: {key} is {value!r}, write a number "
                "from 0"
            )
    if not weights:
        return route
    total = sum(weights)
    if total <= 0:
        raise ValueError(
            f"route {route.name!r}: the weights add up to {total!r}, write at "
            "least one above 0"
        )
    if math.isinf(total):
        return _with_scaled_weights(route, 1 / max(weights))
    return route


def _with_scaled_weights(route: view.Route, factor: float) -> view.Route:
    return dataclasses.replace(
        route,
        weight_by_service=tuple(
            (service, weight * factor)
            for service, weight in route.weight_by_service
        ),
    )

"""Chooses the service of a new flow where a route names several.

The load: a route splits its flows by weights, and one of its services has no
endpoint left that may receive new flows.
"""

import typing

from bramleypin.internal.stream import segment
from bramleypin.internal.stream import view


def alternative_service(
    route: view.Route,
    flow: segment.Flow,
    is_eligible: typing.Callable[[str], bool],
) -> str:
    """Return another service of a route for a flow; "" if there is none.

    Services for which ``is_eligible`` is false have no endpoint that may
    receive a new flow; the others share their flows in proportion to their
    weights. The choice depends on the caller's address alone, so that all
    balancers choose the same for copies of an opening. A service that is only
    full stays eligible: its burst must not fill the other service.
    """
    weights = tuple(
        (service, weight)
        for service, weight in route.weight_by_service
        if weight > 0 and is_eligible(service)
    )
    if not weights:
        return ""
    return view.service_by_weight(weights, flow)

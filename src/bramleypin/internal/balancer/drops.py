"""Counters of dropped datagrams, one for each reason."""

from bramleypin.internal.observe import metrics

_DESCRIPTION_BY_REASON = {
    "proxy_header": "no valid PROXY protocol v2 header",
    "no_lease": "the view is not confirmed",
    "unknown_address": "no service has the destination address",
    "wrong_service": "an answer names a service that lacks its address",
    "oversized": "too large for a frame",
    "not_sent": "the kernel did not take the frame, for example for its size",
    "coap_format": "no CoAP message, for a CoAP service",
    "not_a_request": "no agent holds the flow, and it is no request",
    "opening_queue": "too many datagrams wait for one flow's opening",
    "openings_full": "too many flows are being opened",
    "no_candidates": "the service has no usable endpoint",
    "silent": "no candidate answered a probe",
    "draining": "the balancer is stopping and opens no flows",
    "no_ingress_path": "an answer arrived before any request",
    "frame_truncated": "a frame is shorter than it says",
    "frame_mac": "a frame is signed with no valid key",
    "frame_header": "a frame's header cannot be decoded",
    "frame_fields": "a frame has a wrong number of fields",
    "frame_kind": "a balancer does not take this kind of frame",
    "unexpected": "an input caused an error that has no other name",
}

COUNTER_BY_REASON = {
    reason: metrics.declare(
        f"balancer.dropped.{reason}", "counter", "datagrams", description
    )
    for reason, description in _DESCRIPTION_BY_REASON.items()
}


def count(metrics_service: metrics.Metrics, reason: str, n: int = 1) -> None:
    """Count ``n`` dropped datagrams.

    An unknown reason is counted as ``unexpected``.
    """
    name = COUNTER_BY_REASON.get(reason, COUNTER_BY_REASON["unexpected"])
    metrics_service.count(name, n)

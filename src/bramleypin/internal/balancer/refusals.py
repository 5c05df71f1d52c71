"""Error responses that a balancer sends in place of an endpoint."""

import dataclasses

from bramleypin.internal.wire import coap

RETRY_AFTER_S = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A CoAP error response with its outcome.

    ``reason`` is the diagnostic payload, and ``max_age_s`` the time in
    seconds after which the caller may retry.
    """

    code: int
    outcome: coap.Outcome
    reason: str
    max_age_s: int | None = None

    def build_answer(self, datagram: bytes) -> bytes:
        """Return the encoded response to a request.

        :raises errors.InvalidFrame: when the datagram is not a CoAP message.
        """
        return coap.encode(
            coap.outcome_answer(
                coap.decode(datagram),
                self.code,
                self.outcome,
                self.reason,
                max_age_s=self.max_age_s,
            )
        )


DOMAIN_OUT = Refusal(
    coap.GATEWAY_TIMEOUT,
    coap.Outcome.UNKNOWN,
    "failure domain out; the request may have run",
)
INCOMPLETE = Refusal(
    coap.REQUEST_ENTITY_INCOMPLETE,
    coap.Outcome.INVALID,
    "failure domain out; start again from the first block",
)
NOT_RUN = Refusal(
    coap.SERVICE_UNAVAILABLE,
    coap.Outcome.NOT_RUN,
    "no endpoint is available; try again later",
    RETRY_AFTER_S,
)
# An earlier copy of an idempotent request may have run, so the outcome is
# unknown.
NO_ENDPOINT_UNKNOWN = Refusal(
    coap.GATEWAY_TIMEOUT,
    coap.Outcome.UNKNOWN,
    "no endpoint is available; try again later",
    RETRY_AFTER_S,
)

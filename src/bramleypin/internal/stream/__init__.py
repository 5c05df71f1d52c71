"""Stream flows: connections whose packets any balancer may receive.

A stream flow carries one byte stream between a caller and an endpoint in
small packets. Only the two ends read the bytes; balancers and agents route
the packets by their header. ``docs/platform.md`` describes the protocol.
"""

"""Stream flows: connections whose packets can arrive at any balancer.

A stream flow carries one byte stream between a caller and an endpoint in
small packets. Only the caller and the endpoint read the payload; balancers
and agents route packets by their header. ``docs/platform.md`` describes the
protocol.
"""

"""The balancer daemon: ingress, forwarding and opening of flows."""

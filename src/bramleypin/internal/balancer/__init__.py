"""The balancer: ingress, forwarding, opening of flows."""

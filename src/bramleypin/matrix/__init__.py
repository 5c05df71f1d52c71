"""The fault matrix: injects every fault at every step of a request.

Each combination runs a small deployment in a simulated network and checks
the ten promises of the design page.
"""

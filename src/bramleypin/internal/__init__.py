"""Implementation of the public modules; its interfaces may change."""

"""The machinery behind the public modules; its interfaces may change."""

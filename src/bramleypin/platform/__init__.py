"""The adapter to the names, formats and protocols of the users' platform.

The adapter only decodes the platform's data into the types of
``bramleypin.internal.stream`` and makes no balancing decisions. Modules
outside this package do not use the platform's names.
"""

"""The adapter to the users' platform: its names, formats and calls.

It decides nothing. What it reads is decoded into the types of
``bramleypin.internal.stream``; nothing outside this folder knows the
platform's names.
"""

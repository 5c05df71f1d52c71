"""Test doubles of the systems that bramleypin interacts with."""

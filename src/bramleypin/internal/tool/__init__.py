"""Implementation of the ``bramleypin`` command-line tool."""

"""Network interfaces of a process and their real implementations."""

"""How configuration and membership reach all processes."""

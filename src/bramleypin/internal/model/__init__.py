"""Configuration documents and the views derived from them."""

"""Tests of bramleypin, in folders by purpose."""

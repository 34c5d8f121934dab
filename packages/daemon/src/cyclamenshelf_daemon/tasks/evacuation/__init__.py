"""Emptying a data centre: nothing is started there, and what lasts moves."""

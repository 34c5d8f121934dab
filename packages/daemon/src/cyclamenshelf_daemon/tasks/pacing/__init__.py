"""Slowing best-effort tasks down on workers, by what these report."""

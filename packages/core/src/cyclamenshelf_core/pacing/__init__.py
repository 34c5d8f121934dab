"""Slowing best-effort tasks down beside latency-sensitive ones."""

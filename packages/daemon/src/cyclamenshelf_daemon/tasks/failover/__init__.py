"""Handover of the ownership to a host that reaches the store."""

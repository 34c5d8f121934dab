"""Decisions while there is too little room: what is delayed, and for whom.

What is delayed is what costs the callers least.
"""

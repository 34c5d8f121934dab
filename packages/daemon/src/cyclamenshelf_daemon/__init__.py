"""The daemon of cyclamenshelf."""

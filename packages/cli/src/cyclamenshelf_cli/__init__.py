"""The command line for operators of cyclamenshelf."""

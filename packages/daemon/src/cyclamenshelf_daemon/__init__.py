"""The daemon that runs on each entry host of cyclamenshelf."""

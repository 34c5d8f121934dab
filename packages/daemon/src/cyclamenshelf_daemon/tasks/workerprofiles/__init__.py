"""What the owner learns about workers: samples, stored rows and reports."""

"""The router and sidecar processes, and their settings."""

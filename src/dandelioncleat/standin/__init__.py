"""Small stand-ins for the platform and its targets."""

"""The router that dials targets itself and keeps its state in a store."""

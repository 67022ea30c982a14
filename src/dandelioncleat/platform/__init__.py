"""Adapters between the product and the platform that it is deployed on.

Only the modules here use the platform's names. They translate these to the
product's types and make no decisions.
"""

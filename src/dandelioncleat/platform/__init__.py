"""Translates between the product and the platform of its users.

Only the modules here know the platform's names. They decode them into the
product's types and decide nothing.
"""

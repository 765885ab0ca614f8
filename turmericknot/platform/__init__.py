"""Adapter to the users' platform: its protocol in, the product's types out.

Nothing outside this package knows the platform's names. Each module decodes one
interface of the platform into types of the product and encodes the way back.
"""

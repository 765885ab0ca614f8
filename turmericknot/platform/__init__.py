"""Adapter between the users' platform and the types of the product.

The platform's names are used in this package only. Each module decodes one interface
of the platform into types of the product and encodes them for the reply.
"""

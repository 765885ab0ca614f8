"""HTTP/1.1 client and server for roles that run on one asyncio event loop."""

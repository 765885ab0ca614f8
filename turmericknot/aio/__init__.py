"""HTTP/1.1 for roles that run on one asyncio loop."""

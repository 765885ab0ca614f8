"""Scripts for developers: demo, bench and capacity."""

"""Run the command line with ``python -m turmericknot``."""

from turmericknot.management.cli import main

if __name__ == "__main__":
    main()

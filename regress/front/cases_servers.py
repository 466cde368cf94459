"""Servers that leave, restart, are evacuated, cold, limited or ask for rest: cases_servers.py PROGRAM [CASE...]. The cases
are in cases.py."""

import sys

from cases import SERVER_CASES, main

if __name__ == "__main__":
    sys.exit(main(SERVER_CASES))

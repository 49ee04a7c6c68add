#!/usr/bin/env bash
# Case 5: requests within the client limits make the entry processes exceed the memory of their machines.
exec python3 "$(dirname "${BASH_SOURCE[0]}")/play.py"

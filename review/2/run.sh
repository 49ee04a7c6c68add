#!/usr/bin/env bash
# Case 2: a replacement of a voter that is interrupted leaves the dead voter in the group for good.
exec python3 "$(dirname "${BASH_SOURCE[0]}")/play.py"

#!/usr/bin/env bash
# Case 3: a part of a prompt that crashes each runner after its first events is never barred.
exec python3 "$(dirname "${BASH_SOURCE[0]}")/play.py"

#!/bin/bash
export PYTHONDONTWRITEBYTECODE=1 # leaves no folder beside the case
cd "$(dirname "$0")" && exec python3 play.py

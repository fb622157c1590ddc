#!/bin/sh
cd "$(dirname "$0")"
PYTHONPATH=.. exec python3 case.py

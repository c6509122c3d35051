#!/bin/sh
# 1: the rule was broken, 0: it held, 2: it couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." && exec python3 -B review/6/case.py

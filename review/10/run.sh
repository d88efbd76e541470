#!/bin/bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: the same without the disruption.
exec "$(dirname "$0")/../rig-2/run-case.sh" "$(dirname "$0")" case-10

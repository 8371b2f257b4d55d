#!/bin/sh
# A frontend is stopped for longer than its clients wait for an event; they take their streams up at the other one. TROUBLE=0 plays without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." && exec review/bin/rig-2 thawed "$PWD" review/10/record.txt

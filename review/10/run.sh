#!/bin/sh
# A load without an answer arrives after its server has started again under the same id. TROUBLE=0 plays without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." && exec review/bin/rig-2 late-load "$PWD" review/10/record.txt

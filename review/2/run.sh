#!/bin/bash
# A daemon is killed while it carries an answer for another one.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 runs it without the disruption.
Here="$(cd "$(dirname "$0")" && pwd)"
exec "$Here/../standin/run-case.sh" "$Here" KilledPeer

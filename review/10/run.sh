#!/bin/sh
# Plays the case. TROUBLE=0 does the same without the disruption, and must pass: both clients send sound figures.
trouble=${TROUBLE:-1}
exec sh "$(dirname "$0")/../standins-2/play.sh" "$(dirname "$0")" "$trouble"

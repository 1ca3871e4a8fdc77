#!/bin/sh
exec sh "$(dirname "$0")/../standins-2/play.sh" "$(dirname "$0")"

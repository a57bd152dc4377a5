#!/bin/sh
cd "$(dirname "$0")" && exec ../../target/reviewkit rolling .

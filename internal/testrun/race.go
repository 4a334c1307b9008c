//go:build race

package testrun

const raceEnabled = true

//go:build !race

package testrun

const raceEnabled = false

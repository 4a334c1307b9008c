//go:build race

package testrun

const raceDetector = true

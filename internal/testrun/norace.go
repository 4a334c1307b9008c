//go:build !race

package testrun

const raceDetector = false

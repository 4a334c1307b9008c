package peer

import "time"

type (
	// ClockReading is a peer's reading of its own clock while it handled a call.
	ClockReading struct {
		// Arrived is when the call arrived, and Held is how long the peer took to answer it.
		Arrived, Held time.Duration
	}

	// ClockEstimate tells what a peer's clock shows at least, from one reading. The answer may have been on its way for any time.
	ClockEstimate struct {
		Reading ClockReading
		// SinceAnswered is the time since the answer was received, on the local clock.
		SinceAnswered time.Duration
	}
)

// MaxClockDrift is the fraction by which the clocks of two machines may differ in rate: the 2% that the platform specifies, with a margin.
const MaxClockDrift = 0.025

// Now returns the earliest time that the peer's clock may show now.
func (e ClockEstimate) Now() time.Duration {
	return e.Reading.Arrived + e.Reading.Held + shorten(e.SinceAnswered)
}

// Before returns a time that the peer's clock showed at the latest a while ago.
func (e ClockEstimate) Before(while time.Duration) time.Duration {
	return e.Now() - while - time.Duration(float64(while)*MaxClockDrift)
}

// After returns a time that the peer's clock shows at the latest in a while: what the peer does by then is done before the while has passed here.
func (e ClockEstimate) After(while time.Duration) time.Duration { return e.Now() + shorten(while) }

// shorten returns the shortest time that another machine's clock may show for a duration of this one's.
func shorten(d time.Duration) time.Duration { return d - time.Duration(float64(d)*MaxClockDrift) }

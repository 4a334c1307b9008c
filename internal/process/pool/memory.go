package pool

import "time"

// Bytes is an amount of memory.
type Bytes int64

const (
	// liveJobBytes is what a live job takes besides its payload, its steps and its units, with what a new owner holds while it reads the job's record.
	liveJobBytes Bytes = 2048
	// endedJobBytes is what a job takes whose end is stored, besides its steps.
	endedJobBytes Bytes = 1024
	stepBytes     Bytes = 256
	// unitBytes is what a unit of one task takes at its worst: the unit and its run (950 bytes), an order that waits, and its parts of a report that is read and of a
	// record that is written or read.
	unitBytes Bytes = 2048
	// payloadCopies is how often a new owner holds a job's payload while it reads the records: as received, as decoded, and in the job.
	payloadCopies = 3
	// memoryRetryAfter is the retry delay of a job that is refused for want of memory.
	memoryRetryAfter = 5 * time.Second
)

// size returns how much memory a job takes at most.
func (j *Job) size() Bytes {
	steps := stepBytes * Bytes(len(j.Steps))
	if len(j.units) == 0 {
		return endedJobBytes + steps
	}
	return liveJobBytes + steps + payloadCopies*Bytes(len(j.Payload)) + unitBytes*Bytes(len(j.units))
}

// account updates the memory that the jobs take by a job that was added or has changed.
func (s *State) account(j *Job) {
	size := Bytes(0)
	if s.jobs[j.ID] == j {
		size = j.size()
	}
	s.used += size - j.accounted
	j.accounted = size
}

// MemoryUsed returns how much memory the jobs take at most.
func (s *State) MemoryUsed() Bytes { return s.used }

// hasMemoryFor reports whether there is memory for more units.
func (s *State) hasMemoryFor(units int) bool {
	return s.MaxMemory <= 0 || s.used+unitBytes*Bytes(units) <= s.MaxMemory
}

// refuseForMemory refuses a job that would take more memory than there is left for jobs.
func (s *State) refuseForMemory(j *Job) *Refusal {
	need := j.size()
	switch {
	case s.MaxMemory <= 0 || s.used+need <= s.MaxMemory:
		return nil
	case need > s.MaxMemory:
		return &Refusal{Reason: "it has more tasks than an instance can keep"}
	}
	return &Refusal{Reason: "the accepted jobs take all memory that is meant for them", RetryAfter: memoryRetryAfter}
}

package pool

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Record is what the store keeps of a job.
	Record struct {
		// Format is the version of the record's format.
		Format   int
		ID       ids.JobID
		Queue    ids.QueueID
		Service  ids.ServiceID
		Account  ids.AccountID
		Priority int    `json:",omitempty"`
		Payload  string `json:",omitempty"`
		Steps    []Step
		Schedule Schedule `json:",omitzero"`
		// Elapsed is the number of leading occurrences of the schedule that are done; Units leaves them out.
		Elapsed     int `json:",omitempty"`
		Submitted   time.Time
		MaxAttempts int
		Stretch     float64       `json:",omitempty"`
		Target      time.Duration `json:",omitempty"`
		State       JobState
		Finished    time.Time `json:",omitzero"`
		// Units are the units that are done, failed or have a checkpoint, by their position.
		Units map[int]UnitRecord `json:",omitempty"`
		// Writer tells this write from all others, so that a lost answer can be resolved.
		Writer string
	}

	// UnitRecord is what the store keeps of a gang or a single task.
	UnitRecord struct {
		Done bool `json:",omitempty"`
		// Failed are the numbers of the runs that failed.
		Failed     []ids.RunNumber `json:",omitempty"`
		Checkpoint string          `json:",omitempty"`
	}
)

// recordFormat is the format that this version writes and reads.
const recordFormat = 1

// ErrFormat tells that a record was written by a version that this one doesn't know.
var ErrFormat = errors.New("the record has an unknown format")

// Encode writes a job's record.
func (j *Job) Encode(writer string) ([]byte, error) {
	r := Record{
		Format: recordFormat, ID: j.ID, Queue: j.Queue, Service: j.Service, Account: j.Account, Priority: j.Priority,
		Payload: j.Payload, Steps: j.Steps, Schedule: j.Schedule, Elapsed: j.elapsed(), Submitted: j.Submitted, MaxAttempts: j.MaxAttempts, Stretch: j.Stretch, Target: j.Target,
		State: j.State, Finished: j.Finished, Writer: writer,
	}
	for i, u := range j.units {
		if u.occurrence < r.Elapsed || (u.phase != done && len(u.failed) == 0 && u.checkpoint == "") {
			continue
		}
		if r.Units == nil {
			r.Units = make(map[int]UnitRecord)
		}
		r.Units[i] = UnitRecord{Done: u.phase == done, Failed: u.failed, Checkpoint: u.checkpoint}
	}
	return json.Marshal(r)
}

// Decode reads a job from its record.
func Decode(value []byte) (*Job, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(err, "malformed record")
	}
	if r.Format != recordFormat {
		return nil, errors.Wrapf(ErrFormat, "format %d", r.Format)
	}
	j := &Job{
		ID: r.ID, Queue: r.Queue, Service: r.Service, Account: r.Account, Priority: r.Priority, Payload: r.Payload, Steps: r.Steps, Schedule: r.Schedule,
		Submitted: r.Submitted, MaxAttempts: r.MaxAttempts, Stretch: r.Stretch, Target: r.Target, State: r.State, Finished: r.Finished,
	}
	j.makeUnits()
	for i, u := range j.units {
		if u.occurrence < r.Elapsed {
			u.phase = done
			j.begun = true
		}
		if stored, found := r.Units[i]; found {
			u.failed, u.checkpoint = stored.Failed, stored.Checkpoint
			if stored.Done {
				u.phase = done
			}
			j.begun = true
		}
	}
	return j, nil
}

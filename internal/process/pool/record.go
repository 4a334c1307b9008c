package pool

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/process/tenure"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Record is the stored form of a job.
	Record struct {
		// Format is the version of the record's format.
		Format int
		ID     ids.JobID
		Queue  ids.QueueID
		// Host and Prefix are where the job was submitted. Earlier versions don't know them and drop them.
		Host     string `json:",omitempty"`
		Prefix   string `json:",omitempty"`
		Service  ids.ServiceID
		Account  ids.AccountID
		Priority int    `json:",omitempty"`
		Payload  string `json:",omitempty"`
		Steps    []Step
		Schedule Schedule `json:",omitzero"`
		// Elapsed is the number of leading occurrences that are done; Units omits their units.
		Elapsed   int `json:",omitempty"`
		Submitted time.Time
		// Stamp orders and times the job over owners. Earlier versions don't know it and drop it.
		Stamp       tenure.Stamp `json:",omitzero"`
		MaxAttempts int
		Stretch     float64       `json:",omitempty"`
		Target      time.Duration `json:",omitempty"`
		State       JobState
		// Begun is set once a worker has begun a task of the job. Records without it are of jobs that have not, or of earlier versions.
		Begun    bool      `json:",omitempty"`
		Finished time.Time `json:",omitzero"`
		// PlacesOmitted is set if the record has no room for the places of the units.
		PlacesOmitted bool `json:",omitempty"`
		// Units holds the units that are done, have been started, have failed, have crashed workers have a checkpoint or were slow, by index.
		Units map[int]UnitRecord `json:",omitempty"`
		// Writer identifies this write, so that a write whose answer was lost can be resolved.
		Writer string
	}

	// UnitRecord is the stored form of a gang or a single task.
	UnitRecord struct {
		Done bool `json:",omitempty"`
		// Failed holds the numbers of the failed runs.
		Failed     []ids.RunNumber `json:",omitempty"`
		Checkpoint string          `json:",omitempty"`
		// Crashes holds the crashes of workers under the unit, of which it survived the first ones. Started lists the workers on which a run
		// may have been started whose outcome is not known.
		Crashes  []Crash     `json:",omitempty"`
		Survived int         `json:",omitempty"`
		Started  []StartedOn `json:",omitempty"`
		// SlowOn are the workers that the unit left since it was slow there, and Shown is the shortest run time that it has shown on them. Earlier versions don't know
		// both and drop them.
		SlowOn []ids.InstanceID `json:",omitempty"`
		Shown  time.Duration    `json:",omitempty"`
		// Places are the workers besides those in Started on which runs may be active. Earlier versions don't know them and drop them.
		Places []ids.InstanceID `json:",omitempty"`
	}
)

// recordFormat is the record format that this version reads and writes.
const recordFormat = 1

// ErrFormat is returned for a record in a format that this version doesn't know.
var ErrFormat = errors.New("the record has an unknown format")

// recordForm is how much a record holds.
type recordForm int

const (
	wholeRecord recordForm = iota
	// shortRecord omits what a successor can do without: checkpoints, where tasks were started, by which it counts crashes, and the failures and crashes of units that are
	// done.
	shortRecord
	// shortestRecord also omits the crash of each unit under which only one worker has crashed. All tasks on a lost worker have one, and a successor trusts a task until
	// a second one.
	shortestRecord
)

// Encode returns the job's record of at most limit bytes; zero means no limit. If it would be larger, it omits a part.
func (j *Job) Encode(writer string, limit int) (value []byte, err error) {
	for form := wholeRecord; form <= shortestRecord; form++ {
		if value, err = j.encode(writer, form); err != nil || limit == 0 || len(value) <= limit {
			return value, err
		}
	}
	return nil, errors.Newf("the record has %d bytes, and a value of the store at most %d", len(value), limit)
}

func (j *Job) encode(writer string, form recordForm) ([]byte, error) {
	short := form >= shortRecord
	r := Record{
		Format: recordFormat, ID: j.ID, Queue: j.Queue, Host: j.Host, Prefix: j.Prefix, Service: j.Service, Account: j.Account, Priority: j.Priority,
		Payload: j.Payload, Steps: j.Steps, Schedule: j.Schedule, Elapsed: j.elapsed(), Submitted: j.Submitted, Stamp: j.stamp, MaxAttempts: j.MaxAttempts, Stretch: j.Stretch, Target: j.Target,
		State: j.State, Begun: j.begun, Finished: j.Finished, Writer: writer,
	}
	first := j.closed * j.unitsPerOccurrence()
	if j.ended() {
		// Nothing of an ended job is started again.
		r.Payload = ""
	}
	for i, u := range j.units {
		started, checkpoint := u.crashes.started, u.checkpoint
		var places []ids.InstanceID
		if u.phase != done {
			places = omitStarted(u.placesOf(), started)
		}
		if short {
			r.PlacesOmitted = r.PlacesOmitted || len(places)+len(started) > 0
			started, places, checkpoint = nil, nil, ""
		}
		slowOn, shown := u.slowOn, u.shownTime
		if short || u.phase == done {
			slowOn, shown = nil, 0
		}
		failed, crashes := u.failedRuns, u.crashes
		if short && u.phase == done {
			failed, crashes = nil, crashRecord{}
		}
		if form == shortestRecord && len(crashes.list) == 1 {
			crashes = crashRecord{}
		}
		if j.ended() || u.occurrence < r.Elapsed || (u.phase != done && len(slowOn) == 0 && len(failed) == 0 && len(crashes.list) == 0 && len(started) == 0 && len(places) == 0 && checkpoint == "") {
			continue
		}
		if r.Units == nil {
			r.Units = make(map[int]UnitRecord)
		}
		r.Units[first+i] = UnitRecord{
			Done: u.phase == done, Failed: failed, Checkpoint: checkpoint,
			Crashes: crashes.list, Survived: crashes.survived, Started: started, SlowOn: slowOn, Shown: shown, Places: places,
		}
	}
	return json.Marshal(r)
}

// largestStamp is the stamp that takes most in a record.
var largestStamp = tenure.Stamp{Acceptance: tenure.Acceptance{Epoch: math.MaxUint64, Number: math.MaxUint64}, Accepted: math.MaxInt64, Ended: math.MaxInt64, Written: math.MaxInt64}

// maxTaskRecord is the size of a task's part of a record that omits what can be omitted. Few tasks fail or crash their workers.
const maxTaskRecord = 32

// RecordBound returns how many bytes the job's record may take at least once the tasks of one occurrence have ended.
func (j *Job) RecordBound() (int, error) {
	tasks := 0
	for _, s := range j.Steps {
		tasks += s.Tasks
	}
	value, err := (&Job{
		ID: j.ID, Queue: j.Queue, Host: j.Host, Prefix: j.Prefix, Service: j.Service, Account: j.Account, Priority: j.Priority, Payload: j.Payload,
		Steps: j.Steps, Schedule: j.Schedule, Submitted: j.Submitted, MaxAttempts: j.MaxAttempts, Stretch: j.Stretch, Target: j.Target, State: Accepted, stamp: largestStamp,
	}).encode("", wholeRecord)
	return len(value) + tasks*maxTaskRecord, err
}

// validateUnits checks what the record states of the job's units. State relies on crashes and starts of tasks that there are.
func (r *Record) validateUnits() error {
	total := 0
	for _, s := range r.Steps {
		total += s.Tasks
	}
	check := func(i int, tasks []int) error {
		if len(tasks) == 0 || slices.Min(tasks) < 0 || slices.Max(tasks) >= total {
			return errors.Newf("unit %d names tasks %v of %d", i, tasks, total)
		}
		return nil
	}
	for i, u := range r.Units {
		for _, c := range u.Crashes {
			if err := check(i, c.Tasks); err != nil {
				return err
			}
		}
		for _, on := range u.Started {
			if err := check(i, on.Tasks); err != nil {
				return err
			}
		}
	}
	return nil
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
	if err := Validate(r.Steps, r.Schedule); err != nil {
		return nil, errors.Wrap(err, "malformed record")
	}
	if err := r.validateUnits(); err != nil {
		return nil, errors.Wrap(err, "malformed record")
	}
	switch r.State {
	case Accepted, Completed, Failed, Cancelled:
	default:
		return nil, errors.Newf("malformed record: unknown state %q", r.State)
	}
	j := &Job{
		ID: r.ID, Queue: r.Queue, Host: r.Host, Prefix: r.Prefix, Service: r.Service, Account: r.Account, Priority: r.Priority, Payload: r.Payload,
		Steps: r.Steps, Schedule: r.Schedule, Submitted: r.Submitted, MaxAttempts: r.MaxAttempts, Stretch: r.Stretch, Target: r.Target, State: r.State, Finished: r.Finished, stamp: r.Stamp,
		begun: r.Begun, placesOmitted: r.PlacesOmitted,
	}
	perOccurrence := j.unitsPerOccurrence()
	// The last occurrence of a live job always has units.
	j.closed = max(0, min(r.Elapsed, j.Schedule.count()-1))
	j.opened = j.closed
	if j.ended() {
		j.Payload = ""
		return j, nil
	}
	j.openOne()
	for i := range r.Units {
		j.openThrough(min(i/perOccurrence, j.Schedule.count()-1))
	}
	for k, u := range j.units {
		i := j.closed*perOccurrence + k
		if u.occurrence < r.Elapsed {
			u.setPhase(done)
		}
		j.ordered, j.begun = j.ordered || r.Elapsed > 0, j.begun || r.Elapsed > 0
		if stored, found := r.Units[i]; found {
			u.failedRuns, u.checkpoint = stored.Failed, stored.Checkpoint
			u.crashes = crashRecord{list: stored.Crashes, survived: min(max(0, stored.Survived), len(stored.Crashes)), started: stored.Started}
			u.slowOn, u.shownTime = stored.SlowOn, max(0, stored.Shown)
			u.places = stored.Places
			for _, on := range stored.Started {
				u.places = append(u.places, on.Worker)
			}
			if stored.Done {
				u.setPhase(done)
			}
			j.ordered = true
			// A start that was only ordered may have been refused; the workers' reports show whether it was not.
			j.begun = j.begun || stored.Done || len(stored.Failed) > 0 || stored.Checkpoint != ""
		}
	}
	return j, nil
}

package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/internal/process/tenure"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// Record is the stored form of a job.
type Record struct {
	// Format is the version of the record's format.
	Format     int
	Job        caller.Job
	ID         ids.JobID
	Account    ids.AccountID
	DataCentre ids.DataCentreID
	State      caller.State
	Reason     string           `json:",omitempty"`
	Attempt    ids.Attempt      `json:",omitempty"`
	Each       ids.Resources    `json:",omitzero"`
	Place      []ids.InstanceID `json:",omitempty"`
	// Guarantee and Number identify the guaranteed shape that the job uses; Shape lists the instances reserved for it.
	Guarantee string           `json:",omitempty"`
	Number    int              `json:",omitempty"`
	Shape     []ids.InstanceID `json:",omitempty"`
	Progress  float64          `json:",omitempty"`
	// Losses counts the attempts in a row that lost an instance.
	Losses    int `json:",omitempty"`
	Submitted time.Time
	Started   time.Time `json:",omitzero"`
	Finished  time.Time `json:",omitzero"`
	// Stamp times the job over owners, and Began is when its attempt began. Earlier versions don't know them and drop them.
	Stamp tenure.Stamp  `json:",omitzero"`
	Began tenure.Moment `json:",omitempty"`
	// Epoch is the epoch of the owner that wrote the record.
	Epoch ids.Epoch
	// Writer identifies the write, so that a lost response can be resolved by reading the record back.
	Writer string
}

const (
	// RecordFormat is the format that this version writes and reads.
	RecordFormat = 1
	// RecordPrefix is the prefix of the records' keys.
	RecordPrefix = "Job/"
)

// ErrUnknownFormat means that a record was written by an unsupported version.
var ErrUnknownFormat = errors.New("the record has an unknown format")

// RecordKey returns the key of a job's record.
func RecordKey(id ids.JobID) string { return RecordPrefix + string(id) }

// DecodeRecord decodes a record and rejects unknown formats.
func DecodeRecord(value []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, errors.Wrap(err, "malformed record")
	}
	if r.Format != RecordFormat {
		return nil, errors.Wrapf(ErrUnknownFormat, "format %d", r.Format)
	}
	if err := r.Job.Shape.Validate(); err != nil {
		return nil, errors.Wrap(err, "malformed record")
	}
	return r, nil
}

// ReadRecord reads a job's record from the store, whichever instance owns its data centre.
func ReadRecord(ctx context.Context, s store.Client, id ids.JobID) (*Record, store.Revision, error) {
	entry, err := s.Get(ctx, RecordKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, ErrNoJob
	}
	if err != nil {
		return nil, 0, err
	}
	r, err := DecodeRecord(entry.Value)
	return r, entry.Revision, err
}

// Status returns the status that the job's caller sees.
func (r *Record) Status() caller.JobStatus {
	return caller.JobStatus{
		ID: r.ID, Account: r.Account, DataCentre: r.DataCentre, State: r.State, Reason: r.Reason, Attempt: r.Attempt,
		Owed: r.Guarantee != "", Instances: r.Place, Submitted: r.Submitted, Started: r.Started, Finished: r.Finished, Due: r.Job.Due,
	}
}

// recordOf returns the record of a job in its current state. It runs on the term's goroutine.
func (t *term) recordOf(j *placement.Job) *Record {
	r := &Record{
		Format: RecordFormat, Job: j.Job, ID: j.ID, Account: j.Account, DataCentre: t.owner.DataCentre,
		State: j.CallerState(), Reason: j.Reason, Attempt: j.Attempt, Each: j.Each,
		Place: append([]ids.InstanceID(nil), j.Place...), Progress: j.Progress, Losses: j.Losses,
		Submitted: j.Submitted, Started: j.Started, Finished: j.Finished,
	}
	r.Guarantee, r.Number, r.Shape = j.Guarantee()
	t.stamp(r, j)
	return r
}

// writeRecord replaces the expected revision of a record; after a lost response it reads the record back.
func (t *term) writeRecord(ctx context.Context, r *Record, expected store.Revision) (store.Revision, error) {
	r.Epoch = t.lease.epoch
	r.Writer = t.nextWriteID()
	value, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Mark(err, store.ErrRefused)
	}
	revision, err := t.put(ctx, store.Write{Key: RecordKey(r.ID), Value: value, If: expected})
	if err == nil || errors.Is(err, store.ErrRefused) {
		return revision, err
	}
	stored, at, readErr := t.readRecord(ctx, r.ID)
	switch {
	case readErr == nil && stored.Writer == r.Writer:
		return at, nil
	case readErr == nil || errors.Is(readErr, ErrNoJob):
		// The write did not take effect, and no longer can once the revision differs from the expected one.
		if errors.Is(err, store.ErrConflict) || at != expected {
			return at, store.ErrConflict
		}
	}
	return 0, errors.Mark(err, store.ErrUnknown)
}

func (t *term) put(ctx context.Context, w store.Write) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, t.owner.Times.StoreCallTimeout)
	defer cancel()
	return t.owner.Store.Put(ctx, w)
}

func (t *term) readRecord(ctx context.Context, id ids.JobID) (*Record, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, t.owner.Times.StoreCallTimeout)
	defer cancel()
	return ReadRecord(ctx, t.owner.Store, id)
}

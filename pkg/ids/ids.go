// Package ids defines the identifiers and units shared by jujubegrade's components.
package ids

import (
	"crypto/sha256"
	"encoding/hex"
)

type (
	// AccountID identifies a client account.
	AccountID string
	// JobID identifies a job; it is derived from the account and the idempotency key.
	JobID string
	// InstanceID identifies an instance: a worker, a runner or an entry instance.
	InstanceID string
	// RackID identifies a rack within a data centre.
	RackID string
	// DataCentreID identifies a data centre.
	DataCentreID string
	// ServiceID identifies a service that runners offer.
	ServiceID string
	// RequestID identifies a request to a service.
	RequestID string

	// Epoch is the number of owners that a data centre has had; it is the fencing token of worker calls.
	Epoch uint64
	// Version is the sequence number of an accepted configuration.
	Version uint64
	// Attempt is the number of starts of one job.
	Attempt uint32

	// RunNumber is the number of a task's run, across all owners.
	RunNumber uint64
	// QueueID identifies a job queue.
	QueueID string
	// Accelerators is a number of whole accelerators.
	Accelerators int
	// MilliCores is an amount of CPU in thousandths of a core.
	MilliCores int64
	// MebiBytes is an amount of memory in units of 2^20 bytes.
	MebiBytes int64
)

const jobIDBytes = 12

// JobIDFor derives a job's id from its account and idempotency key, so that every instance derives the same id.
func JobIDFor(account AccountID, key string) JobID {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + key))
	return JobID(hex.EncodeToString(sum[:jobIDBytes]))
}

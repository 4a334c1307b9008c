// Package ids names the identifiers and units that jujubegrade's parts exchange.
package ids

import (
	"crypto/sha256"
	"encoding/hex"
)

type (
	// AccountID names a client account.
	AccountID string
	// JobID names a job; it is derived from its account and idempotency key.
	JobID string
	// InstanceID names an instance: a worker, a runner or an entry instance.
	InstanceID string
	// RackID names a rack within a data centre.
	RackID string
	// DataCentreID names a data centre.
	DataCentreID string
	// ServiceID names a service that runners offer.
	ServiceID string
	// RequestID names one request to a service.
	RequestID string

	// Epoch counts the owners that a data centre has had; it is the fencing token of worker calls.
	Epoch uint64
	// Version counts the accepted configurations.
	Version uint64
	// Attempt counts the starts of one job.
	Attempt uint32

	// RunNumber counts the runs of one task, over all owners.
	RunNumber uint64
	// QueueID names a queue of jobs.
	QueueID string
	// Accelerators counts whole accelerators.
	Accelerators int
	// MilliCores counts thousandths of a processor core.
	MilliCores int64
	// MebiBytes counts memory in units of 2^20 bytes.
	MebiBytes int64
)

const jobIDBytes = 12

// Job derives a job's id from its account and idempotency key, so that every instance derives the same.
func Job(account AccountID, key string) JobID {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + key))
	return JobID(hex.EncodeToString(sum[:jobIDBytes]))
}

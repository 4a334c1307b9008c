// Package config parses, validates and compiles one version of the operators' configuration.
package config

import "github.com/jujubegrade/jujubegrade/internal/version/inifile"

// Sections is the schema of the configuration: its sections and keys.
var Sections = []inifile.SectionSpec{
	{Name: "Policy", Doc: "How jobs are placed and requests are admitted.", Keys: []inifile.KeySpec{
		{Name: "CompletionWeight", Kind: inifile.Number, Default: "0.5", Min: 0, Max: 1, Doc: "Weight of completion time when a job is placed."},
		{Name: "FragmentationWeight", Kind: inifile.Number, Default: "0.5", Min: 0, Max: 1, Doc: "Weight of keeping whole racks and instances free when a job is placed."},
		{Name: "CheckpointGrace", Kind: inifile.Duration, Default: "1s", Min: 0, Max: 2.5, Doc: "Time that a preempted job gets to write its checkpoint."},
		{Name: "AgeingAfter", Kind: inifile.Duration, Default: "10m", Min: 1, Max: 86400, Doc: "Queueing delay after which a borrowing job precedes later ones and gets a reservation."},
		{Name: "QuarantineAfter", Kind: inifile.Integer, Default: "3", Min: 1, Max: 100, Unit: "jobs", Doc: "Distinct jobs that must fail on a worker, and on no other, before it is quarantined."},
		{Name: "QuarantineTime", Kind: inifile.Duration, Default: "10m", Min: 1, Max: 86400, Doc: "Time that a worker stays in quarantine before its probation."},
		{Name: "QuarantineShare", Kind: inifile.Number, Default: "0.1", Min: 0, Max: 0.5, Doc: "Maximum share of a data centre's workers in quarantine."},
		{Name: "JobAttempts", Kind: inifile.Integer, Default: "5", Min: 1, Max: 100, Unit: "starts", Doc: "Starts of an idempotent job whose tasks fail, before the job is marked as failed."},
		{Name: "RackReserve", Kind: inifile.Integer, Default: "0", Min: 0, Max: 1024, Unit: "accelerators", Doc: "Accelerators in each rack that borrowing jobs leave free."},
		{Name: "WarnQuantile", Kind: inifile.Number, Default: "0.3", Min: 0.05, Max: 0.99, Doc: "Quantile of the forecast end time that is compared with a job's due time; a lower one warns later, with fewer false alarms."},
		{Name: "RetryBudget", Kind: inifile.Number, Default: "0.1", Min: 0, Max: 1, Doc: "Maximum share of retries relative to all requests."},
		{Name: "Retention", Kind: inifile.Duration, Default: "24h", Min: 60, Max: 2592000, Doc: "Time that the record of a finished job is kept."},
	}},
	{Name: "DataCentre", Titled: true, Doc: "One data centre.", Keys: []inifile.KeySpec{
		{Name: "Region", Kind: inifile.Text, Doc: "The region that the data centre belongs to."},
		{Name: "Accelerators", Kind: inifile.Integer, Default: "0", Min: 0, Max: 100000, Unit: "accelerators", Doc: "Planned number of accelerators; zero disables the check against the guarantees."},
		{Name: "Evacuate", Kind: inifile.Boolean, Default: "false", Doc: "Evacuates the data centre: its instances get no new work, and running jobs run to their end."},
	}},
	{Name: "ClientAccount", Titled: true, Doc: "One client account.", Keys: []inifile.KeySpec{
		{Name: "Labels", Kind: inifile.Labels, Doc: "Labels of the account."},
		{Name: "Selector", Kind: inifile.Selector, Doc: "Selects the instances that the account's work may use."},
		{Name: "Weight", Kind: inifile.Number, Default: "1", Min: 0.01, Max: 1000, Doc: "Fair-share weight for borrowed capacity, relative to the other accounts."},
		{Name: "Quota", Kind: inifile.Integer, Default: "0", Min: 0, Max: 100000, Unit: "accelerators", Doc: "Maximum accelerators that the account may hold in one data centre; zero sets no quota."},
		{Name: "QueuedJobs", Kind: inifile.Integer, Default: "1000", Min: 1, Max: 100000, Unit: "jobs", Doc: "Maximum queued jobs of the account in one data centre."},
		{Name: "RequestShare", Kind: inifile.Number, Default: "0", Min: 0, Max: 1, Doc: "Guaranteed share of each service's slots."},
		{Name: "QueuedRequests", Kind: inifile.Integer, Default: "100", Min: 0, Max: 100000, Unit: "requests", Doc: "Maximum queued requests of the account at one entry instance."},
	}},
	{Name: "Guarantee", Titled: true, Doc: "Shapes that a client account can always get in one data centre.", Keys: []inifile.KeySpec{
		{Name: "Account", Kind: inifile.Text, Required: true, Doc: "The client account that holds the guarantee."},
		{Name: "DataCentre", Kind: inifile.Text, Required: true, Doc: "The data centre in which the guarantee applies."},
		{Name: "Shape", Kind: inifile.Text, Required: true, Doc: "Tasks and accelerators per task, with an optional adjacency, such as 2x8/Rack."},
		{Name: "Cores", Kind: inifile.Integer, Default: "0", Min: 0, Max: 1000000, Unit: "thousandths of a core", Doc: "CPU of each task."},
		{Name: "Memory", Kind: inifile.Integer, Default: "0", Min: 0, Max: 100000000, Unit: "MiB", Doc: "Memory of each task."},
		{Name: "Count", Kind: inifile.Integer, Default: "1", Min: 1, Max: 1000, Unit: "shapes", Doc: "Number of guaranteed shapes."},
	}},
	{Name: "Instance", Titled: true, Doc: "Settings of one instance. Its labels override those of the instance list.", Keys: []inifile.KeySpec{
		{Name: "Labels", Kind: inifile.Labels, Doc: "Labels of the instance."},
		{Name: "Drain", Kind: inifile.Boolean, Default: "false", Doc: "Drains the instance: it gets no new work."},
	}},
	{Name: "Service", Titled: true, Doc: "One service that runners offer.", Keys: []inifile.KeySpec{
		{Name: "Timeout", Kind: inifile.Duration, Default: "10s", Min: 0.01, Max: 600, Doc: "Default and maximum timeout of a request."},
		{Name: "AttemptTimeout", Kind: inifile.Duration, Default: "2s", Min: 0.01, Max: 600, Doc: "Timeout of one attempt of an idempotent request before it is retried on another runner."},
		{Name: "MaxBody", Kind: inifile.Integer, Default: "4194304", Min: 1, Max: 67108864, Unit: "bytes", Doc: "Maximum size of a request or response body."},
	}},
}

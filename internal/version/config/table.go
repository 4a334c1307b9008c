// Package config parses, validates and compiles one version of the operators' configuration.
package config

import "github.com/jujubegrade/jujubegrade/internal/version/inifile"

// Sections is the schema of the configuration: its sections and keys.
var Sections = []inifile.Section{
	{Name: "Policy", Doc: "How jobs are placed and requests are admitted.", Keys: []inifile.Key{
		{Name: "CompletionWeight", Kind: inifile.Number, Default: "0.5", Min: 0, Max: 1, Doc: "Weight of completion time when a place is chosen."},
		{Name: "FragmentationWeight", Kind: inifile.Number, Default: "0.5", Min: 0, Max: 1, Doc: "Weight of whole racks and instances kept free when a place is chosen."},
		{Name: "CheckpointGrace", Kind: inifile.Duration, Default: "1s", Min: 0, Max: 2.5, Doc: "Time that a reclaimed job gets for its checkpoint."},
		{Name: "AgeingAfter", Kind: inifile.Duration, Default: "10m", Min: 1, Max: 86400, Doc: "Waiting time after which a borrower goes before younger ones and gets a reservation."},
		{Name: "QuarantineAfter", Kind: inifile.Integer, Default: "3", Min: 1, Max: 100, Unit: "jobs", Doc: "Different jobs that must fail on a worker, and on no other, before it is quarantined."},
		{Name: "QuarantineTime", Kind: inifile.Duration, Default: "10m", Min: 1, Max: 86400, Doc: "Time that a worker stays in quarantine before its probation."},
		{Name: "QuarantineShare", Kind: inifile.Number, Default: "0.1", Min: 0, Max: 0.5, Doc: "Largest share of a data centre's workers in quarantine."},
		{Name: "JobAttempts", Kind: inifile.Integer, Default: "5", Min: 1, Max: 100, Unit: "starts", Doc: "Starts of an idempotent job whose tasks fail before it is given up as failed."},
		{Name: "RackReserve", Kind: inifile.Integer, Default: "0", Min: 0, Max: 1024, Unit: "accelerators", Doc: "Accelerators of each rack that borrowers leave free."},
		{Name: "WarnQuantile", Kind: inifile.Number, Default: "0.3", Min: 0.05, Max: 0.99, Doc: "Quantile of the forecast end that is compared with a job's due time; a lower one warns later, and less often in vain."},
		{Name: "RetryBudget", Kind: inifile.Number, Default: "0.1", Min: 0, Max: 1, Doc: "Retried requests as a share of all requests."},
		{Name: "Retention", Kind: inifile.Duration, Default: "24h", Min: 60, Max: 2592000, Doc: "Time that the record of an ended job is kept."},
	}},
	{Name: "DataCentre", Titled: true, Doc: "One data centre.", Keys: []inifile.Key{
		{Name: "Region", Kind: inifile.Text, Doc: "The region that the data centre belongs to."},
		{Name: "Accelerators", Kind: inifile.Integer, Default: "0", Min: 0, Max: 100000, Unit: "accelerators", Doc: "Accelerators that the data centre is planned with; zero makes no check against the guarantees."},
	}},
	{Name: "ClientAccount", Titled: true, Doc: "One client account.", Keys: []inifile.Key{
		{Name: "Labels", Kind: inifile.Labels, Doc: "Labels of the account."},
		{Name: "Selector", Kind: inifile.Selector, Doc: "Selects the instances that the account's work may use."},
		{Name: "Weight", Kind: inifile.Number, Default: "1", Min: 0.01, Max: 1000, Doc: "Share among borrowers, relative to the other accounts."},
		{Name: "Quota", Kind: inifile.Integer, Default: "0", Min: 0, Max: 100000, Unit: "accelerators", Doc: "Most accelerators that the account may hold in one data centre; zero sets no quota."},
		{Name: "QueuedJobs", Kind: inifile.Integer, Default: "1000", Min: 1, Max: 100000, Unit: "jobs", Doc: "Most jobs of the account that wait in one data centre."},
		{Name: "RequestShare", Kind: inifile.Number, Default: "0", Min: 0, Max: 1, Doc: "Guaranteed share of each service's slots."},
		{Name: "QueuedRequests", Kind: inifile.Integer, Default: "100", Min: 0, Max: 100000, Unit: "requests", Doc: "Most requests of the account that wait at one entry instance."},
	}},
	{Name: "Guarantee", Titled: true, Doc: "Shapes that a client account can always get in one data centre.", Keys: []inifile.Key{
		{Name: "Account", Kind: inifile.Text, Required: true, Doc: "The client account that holds the guarantee."},
		{Name: "DataCentre", Kind: inifile.Text, Required: true, Doc: "The data centre in which it holds."},
		{Name: "Shape", Kind: inifile.Text, Required: true, Doc: "Tasks and accelerators per task, with an adjacency, such as 2x8/Rack."},
		{Name: "Cores", Kind: inifile.Integer, Default: "0", Min: 0, Max: 1000000, Unit: "thousandths of a core", Doc: "Processor time of each task."},
		{Name: "Memory", Kind: inifile.Integer, Default: "0", Min: 0, Max: 100000000, Unit: "MiB", Doc: "Memory of each task."},
		{Name: "Count", Kind: inifile.Integer, Default: "1", Min: 1, Max: 1000, Unit: "shapes", Doc: "How many such shapes."},
	}},
	{Name: "Instance", Titled: true, Doc: "Labels that operators set on one instance, over those of the instance list.", Keys: []inifile.Key{
		{Name: "Labels", Kind: inifile.Labels, Doc: "Labels of the instance."},
		{Name: "Drain", Kind: inifile.Boolean, Default: "false", Doc: "Gives the instance no new work."},
	}},
	{Name: "Service", Titled: true, Doc: "One service that runners offer.", Keys: []inifile.Key{
		{Name: "Timeout", Kind: inifile.Duration, Default: "10s", Min: 0.01, Max: 600, Doc: "Deadline of a request that names none, and the longest that one may name."},
		{Name: "AttemptTimeout", Kind: inifile.Duration, Default: "2s", Min: 0.01, Max: 600, Doc: "Time that an idempotent request waits for one runner before it goes to another."},
		{Name: "MaxBody", Kind: inifile.Integer, Default: "4194304", Min: 1, Max: 67108864, Unit: "bytes", Doc: "Largest body of a request or an answer."},
	}},
}

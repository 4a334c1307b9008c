// Package settings parses the settings file of one entry instance.
package settings

import "github.com/jujubegrade/jujubegrade/internal/version/inifile"

// Sections defines the sections and keys of the settings file.
var Sections = []inifile.SectionSpec{
	{Name: "Instance", Doc: "This entry instance.", Keys: []inifile.KeySpec{
		{Name: "Name", Kind: inifile.Text, Required: true, Doc: "The instance's name, unique among all instances."},
		{Name: "DataCentre", Kind: inifile.Text, Doc: "The data centre in which the instance runs."},
		{Name: "Memory", Kind: inifile.Integer, Default: "256", Min: 64, Max: 1048576, Unit: "MB", Doc: "Memory that the instance may take. Of it 0.25 are for callers' connections, which limits their number, 0.25 for their requests in flight, 0.1 for those of operators and 0.15 for calls of the other instances."},
	}},
	{Name: "Listen", Doc: "The addresses on which the instance listens, as IP:port.", Keys: []inifile.KeySpec{
		{Name: "Callers", Kind: inifile.Text, Required: true, Doc: "For callers."},
		{Name: "Operators", Kind: inifile.Text, Required: true, Doc: "For operators: administration, metrics and health checks."},
		{Name: "Peers", Kind: inifile.Text, Required: true, Doc: "For the other entry instances."},
		{Name: "MaxConnections", Kind: inifile.Integer, Default: "4096", Min: 1, Max: 100000, Unit: "connections", Doc: "Maximum number of caller connections, if memory and file descriptors suffice."},
		{Name: "MaxHeader", Kind: inifile.Integer, Default: "16384", Min: 1024, Max: 1048576, Unit: "bytes", Doc: "Maximum size of a request header."},
		{Name: "MaxBody", Kind: inifile.Integer, Default: "4194304", Min: 1024, Max: 67108864, Unit: "bytes", Doc: "Maximum size of a request body; at most a 56th of Memory."},
		{Name: "WriteTimeout", Kind: inifile.Duration, Default: "60s", Min: 1, Max: 3600, Doc: "Maximum time in which a caller or operator reads a response."},
	}},
	{Name: "Peers", Doc: "The other entry instances.", Keys: []inifile.KeySpec{
		{Name: "Addresses", Kind: inifile.List, Doc: "Their addresses as IP:port, separated by commas."},
		{Name: "Heartbeat", Kind: inifile.Duration, Default: "1s", Min: 0.01, Max: 60, Doc: "Interval of heartbeats to each peer."},
		{Name: "Silence", Kind: inifile.Duration, Default: "3s", Min: 0.05, Max: 300, Doc: "Time without a heartbeat after which a peer is considered dead."},
	}},
	{Name: "Store", Doc: "The platform's key-value service.", Keys: []inifile.KeySpec{
		{Name: "Address", Kind: inifile.Text, Required: true, Doc: "Its IP:port."},
		{Name: "Timeout", Kind: inifile.Duration, Default: "1s", Min: 0.01, Max: 60, Doc: "Timeout of a call, except for watches."},
		{Name: "CallRate", Kind: inifile.Number, Default: "30", Min: 1, Max: 10000, Unit: "calls per second", Doc: "Maximum rate of calls by this instance."},
		{Name: "CallBurst", Kind: inifile.Integer, Default: "60", Min: 1, Max: 10000, Unit: "calls", Doc: "Maximum burst of calls."},
	}},
	{Name: "InstanceList", Doc: "The platform's instance list.", Keys: []inifile.KeySpec{
		{Name: "Address", Kind: inifile.Text, Required: true, Doc: "Its IP:port."},
		{Name: "Poll", Kind: inifile.Duration, Default: "1s", Min: 0.01, Max: 60, Doc: "Polling interval of the list."},
	}},
	{Name: "Workers", Doc: "Calls to workers.", Keys: []inifile.KeySpec{
		{Name: "Fencing", Kind: inifile.Boolean, Default: "true", Doc: "Workers refuse calls of older epochs. Without fencing, an owner stops acting once its lease may have expired."},
		{Name: "Lease", Kind: inifile.Duration, Default: "15s", Min: 0.1, Max: 600, Doc: "Time for which a worker's tasks run without a renewal."},
		{Name: "Renew", Kind: inifile.Duration, Default: "2s", Min: 0.02, Max: 200, Doc: "Interval at which a worker's lease is renewed."},
		{Name: "RenewRate", Kind: inifile.Number, Default: "10", Min: 1, Max: 10000, Unit: "renewals per second", Doc: "Maximum rate of renewals by this instance, over all data centres that it owns. With more workers, each is renewed less often, with a longer lease. A renewal takes about 300 bytes."},
		{Name: "Hold", Kind: inifile.Duration, Default: "2s", Min: 0.05, Max: 60, Doc: "Time for which reserved accelerators wait for the gang to start."},
		{Name: "Timeout", Kind: inifile.Duration, Default: "500ms", Min: 0.01, Max: 10, Doc: "Timeout of a call to a worker."},
	}},
	{Name: "Ownership", Doc: "Which instance schedules the jobs of a data centre.", Keys: []inifile.KeySpec{
		{Name: "Lease", Kind: inifile.Duration, Default: "3s", Min: 0.1, Max: 60, Doc: "Time for which ownership lasts without a renewal."},
	}},
	{Name: "Configuration", Doc: "How the instance follows changes of the operators' configuration.", Keys: []inifile.KeySpec{
		{Name: "Watch", Kind: inifile.Duration, Default: "2s", Min: 0.02, Max: 60, Doc: "Long-poll timeout of a watch for the accepted version."},
		{Name: "Poll", Kind: inifile.Duration, Default: "15s", Min: 0.02, Max: 600, Doc: "Polling interval of the accepted version for instances that don't watch it."},
		{Name: "Bound", Kind: inifile.Duration, Default: "6s", Min: 0.05, Max: 600, Doc: "Age of the last confirmation of the configuration after which the instance accepts no new work."},
	}},
	{Name: "Shutdown", Doc: "Shutdown after SIGTERM.", Keys: []inifile.KeySpec{
		{Name: "BalancerLag", Kind: inifile.Duration, Default: "3s", Min: 0, Max: 300, Doc: "Time until the load balancer sees that the instance isn't ready."},
		{Name: "Grace", Kind: inifile.Duration, Default: "60s", Min: 0.1, Max: 3600, Doc: "Maximum time to wait for requests in flight."},
	}},
	{Name: "Log", Doc: "The log and the event timeline.", Keys: []inifile.KeySpec{
		{Name: "Level", Kind: inifile.Enum, Default: "info", Allowed: []string{"debug", "info", "warn", "error"}, Doc: "Lowest level that is written."},
		{Name: "Events", Kind: inifile.Integer, Default: "10000", Min: 100, Max: 1000000, Unit: "events", Doc: "Number of timeline events that are kept."},
	}},
	{Name: "Token", Titled: true, Doc: "A bearer token that callers or operators present.", Keys: []inifile.KeySpec{
		{Name: "Secret", Kind: inifile.Text, Required: true, Doc: "The token."},
		{Name: "Role", Kind: inifile.Enum, Default: "Caller", Allowed: []string{"Caller", "Operator"}, Doc: "Role that the token grants."},
		{Name: "Account", Kind: inifile.Text, Doc: "The caller's client account; required for callers."},
	}},
}

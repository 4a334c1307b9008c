// Package settings reads the settings of one entry instance.
package settings

import "github.com/jujubegrade/jujubegrade/internal/version/inifile"

// Sections is the table of the settings' sections and keys.
var Sections = []inifile.Section{
	{Name: "Instance", Doc: "This entry instance.", Keys: []inifile.Key{
		{Name: "Name", Kind: inifile.Text, Required: true, Doc: "The instance's name, different from all others."},
		{Name: "DataCentre", Kind: inifile.Text, Doc: "The data centre that the instance stands in."},
	}},
	{Name: "Listen", Doc: "Where the instance listens, as IP:port.", Keys: []inifile.Key{
		{Name: "Callers", Kind: inifile.Text, Required: true, Doc: "For callers."},
		{Name: "Operators", Kind: inifile.Text, Required: true, Doc: "For operators: administration, metrics, health."},
		{Name: "Peers", Kind: inifile.Text, Required: true, Doc: "For the other entry instances."},
		{Name: "MaxConnections", Kind: inifile.Integer, Default: "4096", Min: 1, Max: 100000, Unit: "connections", Doc: "Most connections of callers."},
		{Name: "MaxHeader", Kind: inifile.Integer, Default: "16384", Min: 1024, Max: 1048576, Unit: "bytes", Doc: "Largest header of a request."},
		{Name: "MaxBody", Kind: inifile.Integer, Default: "4194304", Min: 1024, Max: 67108864, Unit: "bytes", Doc: "Largest body of a request."},
	}},
	{Name: "Peers", Doc: "The other entry instances.", Keys: []inifile.Key{
		{Name: "Addresses", Kind: inifile.List, Doc: "Their IP:port, separated by commas."},
		{Name: "Heartbeat", Kind: inifile.Duration, Default: "1s", Min: 0.01, Max: 60, Doc: "Interval of heartbeats to each peer."},
		{Name: "Silence", Kind: inifile.Duration, Default: "3s", Min: 0.05, Max: 300, Doc: "Time after which a silent peer is taken as dead."},
	}},
	{Name: "Store", Doc: "The platform's key-value service.", Keys: []inifile.Key{
		{Name: "Address", Kind: inifile.Text, Required: true, Doc: "Its IP:port."},
		{Name: "Timeout", Kind: inifile.Duration, Default: "1s", Min: 0.01, Max: 60, Doc: "Longest wait for an answer, watches excepted."},
		{Name: "CallRate", Kind: inifile.Number, Default: "30", Min: 1, Max: 10000, Unit: "calls per second", Doc: "Most calls of this instance."},
		{Name: "CallBurst", Kind: inifile.Integer, Default: "60", Min: 1, Max: 10000, Unit: "calls", Doc: "Most calls at once."},
	}},
	{Name: "InstanceList", Doc: "The platform's instance list.", Keys: []inifile.Key{
		{Name: "Address", Kind: inifile.Text, Required: true, Doc: "Its IP:port."},
		{Name: "Poll", Kind: inifile.Duration, Default: "1s", Min: 0.01, Max: 60, Doc: "Interval at which the list is read."},
	}},
	{Name: "Workers", Doc: "How workers are called.", Keys: []inifile.Key{
		{Name: "Fencing", Kind: inifile.Boolean, Default: "true", Doc: "Workers refuse calls of older epochs. Without it an owner stops acting when its lease may have lapsed."},
		{Name: "Lease", Kind: inifile.Duration, Default: "15s", Min: 0.1, Max: 600, Doc: "Time that a worker's tasks run without renewal."},
		{Name: "Renew", Kind: inifile.Duration, Default: "2s", Min: 0.02, Max: 200, Doc: "Interval of renewals of one worker."},
		{Name: "RenewRate", Kind: inifile.Number, Default: "10", Min: 1, Max: 10000, Unit: "renewals per second", Doc: "Most renewals of this instance, over all data centres that it owns; with more workers each is renewed less often, under a longer lease. A renewal takes about 300 bytes."},
		{Name: "Hold", Kind: inifile.Duration, Default: "2s", Min: 0.05, Max: 60, Doc: "Time that held accelerators wait for the gang's start."},
		{Name: "Timeout", Kind: inifile.Duration, Default: "500ms", Min: 0.01, Max: 10, Doc: "Longest wait for a worker's answer."},
	}},
	{Name: "Ownership", Doc: "Which instance decides for a data centre.", Keys: []inifile.Key{
		{Name: "Lease", Kind: inifile.Duration, Default: "3s", Min: 0.1, Max: 60, Doc: "Time that ownership lasts without renewal."},
	}},
	{Name: "Configuration", Doc: "How the operators' configuration is followed.", Keys: []inifile.Key{
		{Name: "Watch", Kind: inifile.Duration, Default: "2s", Min: 0.02, Max: 60, Doc: "Time that one watch of the accepted version waits."},
		{Name: "Poll", Kind: inifile.Duration, Default: "15s", Min: 0.02, Max: 600, Doc: "Interval at which instances that don't watch read the accepted version."},
		{Name: "Bound", Kind: inifile.Duration, Default: "6s", Min: 0.05, Max: 600, Doc: "Age of the last confirmation after which no new work is taken."},
	}},
	{Name: "Shutdown", Doc: "What happens after SIGTERM.", Keys: []inifile.Key{
		{Name: "BalancerLag", Kind: inifile.Duration, Default: "3s", Min: 0, Max: 300, Doc: "Time that the balancer needs to see that the instance isn't ready."},
		{Name: "Grace", Kind: inifile.Duration, Default: "60s", Min: 0.1, Max: 3600, Doc: "Longest wait for requests in flight."},
	}},
	{Name: "Log", Doc: "Logs and the time line.", Keys: []inifile.Key{
		{Name: "Level", Kind: inifile.Word, Default: "info", Allowed: []string{"debug", "info", "warn", "error"}, Doc: "Least severe level that is written."},
		{Name: "Events", Kind: inifile.Integer, Default: "10000", Min: 100, Max: 1000000, Unit: "events", Doc: "Events of the time line that are kept."},
	}},
	{Name: "Token", Titled: true, Doc: "A bearer token that callers or operators present.", Keys: []inifile.Key{
		{Name: "Secret", Kind: inifile.Text, Required: true, Doc: "The token."},
		{Name: "Role", Kind: inifile.Word, Default: "Caller", Allowed: []string{"Caller", "Operator"}, Doc: "What the token allows."},
		{Name: "Account", Kind: inifile.Text, Doc: "The client account of a caller."},
	}},
}

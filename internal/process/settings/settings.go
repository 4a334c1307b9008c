package settings

import (
	"net"
	"time"

	"github.com/jujubegrade/jujubegrade/internal/version/inifile"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Settings holds the settings of one entry instance.
	Settings struct {
		Name       ids.InstanceID
		DataCentre ids.DataCentreID
		// Memory is the memory that the instance may take, in megabytes.
		Memory int

		Callers, Operators, Peers string
		MaxConnections            int
		MaxHeader, MaxBody        int
		WriteTimeout              time.Duration

		PeerAddresses          []string
		Heartbeat, PeerTimeout time.Duration

		StoreAddress  string
		StoreTimeout  time.Duration
		StoreRate     float64
		StoreBurst    int
		ListAddress   string
		ListPoll      time.Duration
		Fencing       bool
		WorkerLease   time.Duration
		WorkerRenew   time.Duration
		RenewRate     float64
		WorkerHoldTTL time.Duration
		WorkerTimeout time.Duration
		OwnerLease    time.Duration
		ConfigWatch   time.Duration
		ConfigPoll    time.Duration
		ConfigMaxAge  time.Duration
		BalancerDelay time.Duration
		Grace         time.Duration
		LogLevel      string
		Events        int
		Tokens        []Token
	}

	// Token is a bearer token of a caller or an operator.
	Token struct {
		Name, Secret string
		Operator     bool
		Account      ids.AccountID
	}
)

// memoryPerBody is how many times the size of the largest body an instance needs as memory, so that it serves one beside others.
const memoryPerBody = 56

// Parse parses and validates settings. Its error is an inifile.Diagnostics with all errors found.
func Parse(file string, text []byte) (*Settings, error) {
	d, diags := inifile.Parse(file, text, Sections)
	section := func(name string) inifile.Section { return d.SectionOrDefault(name, Sections) }
	instance, listen, peers, store, list := section("Instance"), section("Listen"), section("Peers"), section("Store"), section("InstanceList")
	workers, ownership, configuration := section("Workers"), section("Ownership"), section("Configuration")
	shutdown, log := section("Shutdown"), section("Log")
	s := &Settings{
		Name: ids.InstanceID(instance.Text("Name")), DataCentre: ids.DataCentreID(instance.Text("DataCentre")), Memory: instance.Int("Memory"),
		Callers: listen.Text("Callers"), Operators: listen.Text("Operators"), Peers: listen.Text("Peers"),
		MaxConnections: listen.Int("MaxConnections"), MaxHeader: listen.Int("MaxHeader"), MaxBody: listen.Int("MaxBody"), WriteTimeout: listen.Duration("WriteTimeout"),
		PeerAddresses: peers.List("Addresses"), Heartbeat: peers.Duration("Heartbeat"), PeerTimeout: peers.Duration("Silence"),
		StoreAddress: store.Text("Address"), StoreTimeout: store.Duration("Timeout"),
		StoreRate: store.Number("CallRate"), StoreBurst: store.Int("CallBurst"),
		ListAddress: list.Text("Address"), ListPoll: list.Duration("Poll"),
		Fencing: workers.Bool("Fencing"), WorkerLease: workers.Duration("Lease"), WorkerRenew: workers.Duration("Renew"),
		RenewRate: workers.Number("RenewRate"), WorkerHoldTTL: workers.Duration("Hold"), WorkerTimeout: workers.Duration("Timeout"),
		OwnerLease:  ownership.Duration("Lease"),
		ConfigWatch: configuration.Duration("Watch"), ConfigPoll: configuration.Duration("Poll"), ConfigMaxAge: configuration.Duration("Bound"),
		BalancerDelay: shutdown.Duration("BalancerLag"), Grace: shutdown.Duration("Grace"),
		LogLevel: log.Text("Level"), Events: log.Int("Events"),
	}
	for _, name := range []string{"Instance", "Listen", "Store", "InstanceList"} {
		if len(d.SectionsNamed(name)) == 0 {
			diags = append(diags, inifile.Diagnostic{File: file, Line: 1, Section: name, Message: "the section is missing"})
		}
	}
	diags = append(diags, checkAddresses(file, &listen, "Callers", "Operators", "Peers")...)
	diags = append(diags, checkAddresses(file, &store, "Address")...)
	diags = append(diags, checkAddresses(file, &list, "Address")...)
	if limit := s.Memory << 20 / memoryPerBody; s.MaxBody > limit {
		diags = append(diags, listen.Diagnostic(file, "MaxBody", "%d is more than a %dth of Memory, which is %d MB", s.MaxBody, memoryPerBody, s.Memory))
	}
	if s.WorkerRenew*3 > s.WorkerLease {
		diags = append(diags, workers.Diagnostic(file, "Lease", "%v is less than three times Renew, which is %v", s.WorkerLease, s.WorkerRenew))
	}
	if s.Heartbeat*2 > s.PeerTimeout {
		diags = append(diags, peers.Diagnostic(file, "Silence", "%v is less than twice Heartbeat, which is %v", s.PeerTimeout, s.Heartbeat))
	}
	if s.ConfigWatch*2 > s.ConfigMaxAge {
		diags = append(diags, configuration.Diagnostic(file, "Bound", "%v is less than twice Watch, which is %v", s.ConfigMaxAge, s.ConfigWatch))
	}
	for _, p := range d.SectionsNamed("Token") {
		token := Token{Name: p.Title, Secret: p.Text("Secret"), Operator: p.Text("Role") == "Operator", Account: ids.AccountID(p.Text("Account"))}
		if !token.Operator && token.Account == "" {
			diags = append(diags, p.Diagnostic(file, "Account", "a caller's token needs an account"))
		}
		s.Tokens = append(s.Tokens, token)
	}
	if err := diags.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func checkAddresses(file string, section *inifile.Section, keys ...string) inifile.Diagnostics {
	var diags inifile.Diagnostics
	for _, key := range keys {
		value := section.Text(key)
		if value == "" {
			continue
		}
		host, _, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			diags = append(diags, section.Diagnostic(file, key, "%q is not an IP:port address", value))
		}
	}
	return diags
}

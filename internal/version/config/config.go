package config

import (
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/jujubegrade/jujubegrade/internal/version/inifile"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Config is one compiled configuration. It is immutable.
	Config struct {
		Version     ids.Version
		Policy      Policy
		Accounts    map[ids.AccountID]*Account
		Guarantees  []Guarantee
		DataCentres map[ids.DataCentreID]DataCentre
		Instances   map[ids.InstanceID]Instance
		Services    map[ids.ServiceID]Service
	}

	// Policy holds the values of the Policy section.
	Policy struct {
		CompletionWeight    float64
		FragmentationWeight float64
		CheckpointGrace     time.Duration
		AgeingAfter         time.Duration
		QuarantineAfter     int
		QuarantineTime      time.Duration
		QuarantineShare     float64
		JobAttempts         int
		RackReserve         ids.Accelerators
		WarnQuantile        float64
		RetryBudget         float64
		Retention           time.Duration
	}

	// DataCentre holds the planned properties of one data centre.
	DataCentre struct {
		Region       string
		Accelerators ids.Accelerators
		// Evacuate requests that the data centre takes no new work.
		Evacuate bool
	}

	// Account holds the settings of one client account.
	Account struct {
		ID             ids.AccountID
		Labels         labels.Set
		Selector       labels.Selector
		Weight         float64
		Quota          ids.Accelerators
		QueuedJobs     int
		RequestShare   float64
		QueuedRequests int
	}

	// Guarantee guarantees Count identical shapes to an account in one data centre.
	Guarantee struct {
		Name       string
		Account    ids.AccountID
		DataCentre ids.DataCentreID
		Shape      ids.Shape
		Count      int
	}

	// Instance holds the operators' settings for one instance.
	Instance struct {
		Labels labels.Set
		Drain  bool
	}

	// Service holds the settings of one service. MaxBody is in bytes.
	Service struct {
		Timeout        time.Duration
		AttemptTimeout time.Duration
		MaxBody        int
	}
)

// Parse parses, validates and compiles a document. Its error is an inifile.Diagnostics with all errors found.
func Parse(file string, text []byte) (*Config, error) {
	document, diags := inifile.Parse(file, text, Sections)
	c := &Config{
		Policy:      parsePolicy(document.SectionOrDefault("Policy", Sections)),
		Accounts:    make(map[ids.AccountID]*Account),
		DataCentres: make(map[ids.DataCentreID]DataCentre),
		Instances:   make(map[ids.InstanceID]Instance),
		Services:    make(map[ids.ServiceID]Service),
	}
	for _, p := range document.SectionsNamed("DataCentre") {
		c.DataCentres[ids.DataCentreID(p.Title)] = DataCentre{
			Region: p.Text("Region"), Accelerators: ids.Accelerators(p.Int("Accelerators")), Evacuate: p.Bool("Evacuate"),
		}
	}
	totalShare := 0.0
	for _, p := range document.SectionsNamed("ClientAccount") {
		account := parseAccount(p)
		c.Accounts[account.ID] = account
		totalShare += account.RequestShare
		if totalShare > 1+1e-9 {
			diags = append(diags, p.Diagnostic(file, "RequestShare", "the accounts' shares add up to %.2f, allowed is 1 at most", totalShare))
		}
	}
	for _, p := range document.SectionsNamed("Instance") {
		c.Instances[ids.InstanceID(p.Title)] = Instance{Labels: p.Labels("Labels"), Drain: p.Bool("Drain")}
	}
	for _, p := range document.SectionsNamed("Service") {
		c.Services[ids.ServiceID(p.Title)] = Service{Timeout: p.Duration("Timeout"), AttemptTimeout: p.Duration("AttemptTimeout"), MaxBody: p.Int("MaxBody")}
	}
	diags = append(diags, c.parseGuarantees(file, document.SectionsNamed("Guarantee"))...)
	if err := diags.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func parsePolicy(section inifile.Section) Policy {
	return Policy{
		CompletionWeight:    section.Number("CompletionWeight"),
		FragmentationWeight: section.Number("FragmentationWeight"),
		CheckpointGrace:     section.Duration("CheckpointGrace"),
		AgeingAfter:         section.Duration("AgeingAfter"),
		QuarantineAfter:     section.Int("QuarantineAfter"),
		QuarantineTime:      section.Duration("QuarantineTime"),
		QuarantineShare:     section.Number("QuarantineShare"),
		JobAttempts:         section.Int("JobAttempts"),
		RackReserve:         ids.Accelerators(section.Int("RackReserve")),
		WarnQuantile:        section.Number("WarnQuantile"),
		RetryBudget:         section.Number("RetryBudget"),
		Retention:           section.Duration("Retention"),
	}
}

func parseAccount(section inifile.Section) *Account {
	return &Account{
		ID:             ids.AccountID(section.Title),
		Labels:         section.Labels("Labels"),
		Selector:       section.Selector("Selector"),
		Weight:         section.Number("Weight"),
		Quota:          ids.Accelerators(section.Int("Quota")),
		QueuedJobs:     section.Int("QueuedJobs"),
		RequestShare:   section.Number("RequestShare"),
		QueuedRequests: section.Int("QueuedRequests"),
	}
}

func (c *Config) parseGuarantees(file string, sections []inifile.Section) inifile.Diagnostics {
	var diags inifile.Diagnostics
	sums := make(map[ids.DataCentreID]ids.Accelerators)
	for _, p := range sections {
		shape, err := ids.ParseShape(p.Text("Shape"))
		if err != nil && p.Text("Shape") != "" {
			diags = append(diags, p.Diagnostic(file, "Shape", "%v", err))
			continue
		}
		shape.Each.Cores = ids.MilliCores(p.Int("Cores"))
		shape.Each.Memory = ids.MebiBytes(p.Int("Memory"))
		g := Guarantee{
			Name: p.Title, Account: ids.AccountID(p.Text("Account")),
			DataCentre: ids.DataCentreID(p.Text("DataCentre")), Shape: shape, Count: p.Int("Count"),
		}
		if _, found := c.Accounts[g.Account]; !found && g.Account != "" {
			diags = append(diags, p.Diagnostic(file, "Account", "%q is not a client account in this document", g.Account))
		}
		planned, found := c.DataCentres[g.DataCentre]
		if !found && g.DataCentre != "" {
			diags = append(diags, p.Diagnostic(file, "DataCentre", "%q is not a data centre in this document", g.DataCentre))
		}
		sums[g.DataCentre] += shape.Total().Accelerators * ids.Accelerators(g.Count)
		if sum := sums[g.DataCentre]; planned.Accelerators > 0 && sum > planned.Accelerators {
			diags = append(diags, p.Diagnostic(file, "Count", "the guarantees in %s add up to %d accelerators, planned are %d", g.DataCentre, sum, planned.Accelerators))
		}
		c.Guarantees = append(c.Guarantees, g)
	}
	return diags
}

// HasDataCentre reports whether the configuration has a data centre.
func (c *Config) HasDataCentre(id ids.DataCentreID) bool {
	_, found := c.DataCentres[id]
	return found
}

// TakesNoWork reports whether a data centre takes no new work because it is being evacuated or was removed from the
// configuration.
func (c *Config) TakesNoWork(id ids.DataCentreID) bool {
	planned, found := c.DataCentres[id]
	return !found || planned.Evacuate
}

// Service returns the settings of a service, or the defaults if the document has no section for it.
func (c *Config) Service(id ids.ServiceID) Service {
	if s, found := c.Services[id]; found {
		return s
	}
	return defaultService
}

var defaultService = Service{Timeout: 10 * time.Second, AttemptTimeout: 2 * time.Second, MaxBody: 4 << 20}

package inifile

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
	"k8s.io/apimachinery/pkg/labels"
)

type (
	// Document is a parsed and validated INI document.
	Document struct {
		Sections []Section
	}

	// Section is one section of a document. Line is the line number of its header, from 1.
	Section struct {
		Name, Title string
		Line        int

		spec   *SectionSpec
		values map[string]string
	}

	// Diagnostic is one parse or validation error in a document.
	Diagnostic struct {
		File    string
		Line    int
		Section string
		Key     string
		Message string
	}

	// Diagnostics are all parse and validation errors in a document.
	Diagnostics []Diagnostic
)

// String formats the diagnostic as file:line: Section.Key: message.
func (f Diagnostic) String() string {
	location := f.Section
	if f.Key != "" {
		location += "." + f.Key
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, location, f.Message)
}

// Error formats the diagnostics, one per line.
func (f Diagnostics) Error() string {
	lines := make([]string, len(f))
	for i, diagnostic := range f {
		lines[i] = diagnostic.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the diagnostics as an error, sorted by line, or nil if there are none.
func (f Diagnostics) Err() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool { return f[i].Line < f[j].Line })
	return f
}

// Parse parses a document and validates it against the schema in sections. It returns the valid part of the document
// together with all diagnostics.
func Parse(file string, text []byte, sections []SectionSpec) (Document, Diagnostics) {
	lines := findPositions(text)
	diags := lines.duplicates(file)
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return Document{}, append(diags, Diagnostic{File: file, Line: 1, Section: "document", Message: err.Error()})
	}
	var document Document
	for _, raw := range parsed.Sections() {
		if raw.Name() == ini.DefaultSection && len(raw.Keys()) == 0 {
			continue
		}
		section, found := parseSection(file, raw, sections, lines)
		diags = append(diags, found...)
		if section.spec != nil {
			document.Sections = append(document.Sections, section)
		}
	}
	return document, diags
}

func parseSection(file string, raw *ini.Section, sections []SectionSpec, lines positions) (Section, Diagnostics) {
	name, title := SplitSectionName(raw.Name())
	section := Section{Name: name, Title: title, Line: lines.section(raw.Name()), values: make(map[string]string)}
	diagnostic := func(key, format string, args ...any) Diagnostic {
		return Diagnostic{File: file, Line: lines.key(raw.Name(), key), Section: raw.Name(), Key: key, Message: fmt.Sprintf(format, args...)}
	}
	for i := range sections {
		if sections[i].Name == name {
			section.spec = &sections[i]
		}
	}
	if section.spec == nil {
		return section, Diagnostics{diagnostic("", "unknown section, allowed are %s", sectionNames(sections))}
	}
	var diags Diagnostics
	if section.spec.Titled && title == "" {
		diags = append(diags, diagnostic("", "the section needs a title, write [%s \"title\"]", name))
	}
	if !section.spec.Titled && title != "" {
		diags = append(diags, diagnostic("", "the section must not have a title"))
	}
	for _, key := range raw.Keys() {
		keySpec := section.spec.key(key.Name())
		if keySpec == nil {
			diags = append(diags, diagnostic(key.Name(), "unknown key, allowed are %s", section.spec.keyNames()))
			continue
		}
		if err := keySpec.Validate(key.Value()); err != nil {
			diags = append(diags, diagnostic(key.Name(), "%v", err))
			continue
		}
		section.values[key.Name()] = key.Value()
	}
	for _, key := range section.spec.Keys {
		if key.Required && raw.Key(key.Name).Value() == "" {
			diags = append(diags, diagnostic(key.Name, "the key is missing or empty: %s", key.Doc))
		}
	}
	return section, diags
}

// SplitSectionName splits the full name of a section into its name and its title, which may be quoted.
func SplitSectionName(full string) (name, title string) {
	name, rest, found := strings.Cut(full, " ")
	if !found {
		return full, ""
	}
	return name, strings.Trim(strings.TrimSpace(rest), `"`)
}

func sectionNames(sections []SectionSpec) string {
	all := make([]string, len(sections))
	for i, s := range sections {
		all[i] = s.Name
	}
	return strings.Join(all, ", ")
}

func (s *SectionSpec) key(name string) *KeySpec {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

func (s *SectionSpec) keyNames() string {
	all := make([]string, len(s.Keys))
	for i, k := range s.Keys {
		all[i] = k.Name
	}
	return strings.Join(all, ", ")
}

// SectionsNamed returns all sections with the given name.
func (d *Document) SectionsNamed(name string) []Section {
	var found []Section
	for _, p := range d.Sections {
		if p.Name == name {
			found = append(found, p)
		}
	}
	return found
}

// SectionOrDefault returns the first section with the given name. If there is none, it returns one with the default values.
func (d *Document) SectionOrDefault(name string, sections []SectionSpec) Section {
	if found := d.SectionsNamed(name); len(found) > 0 {
		return found[0]
	}
	for i := range sections {
		if sections[i].Name == name {
			return Section{Name: name, spec: &sections[i]}
		}
	}
	return Section{Name: name, spec: &SectionSpec{}}
}

// Text returns a key's value, or its default if the key is absent.
func (p *Section) Text(name string) string {
	if value, found := p.values[name]; found {
		return value
	}
	if key := p.spec.key(name); key != nil {
		return key.Default
	}
	return ""
}

// Int returns a key's value as an integer.
func (p *Section) Int(name string) int {
	n, err := strconv.Atoi(p.Text(name))
	if err != nil {
		return 0
	}
	return n
}

// Number returns a key's value as a floating-point number.
func (p *Section) Number(name string) float64 {
	n, err := strconv.ParseFloat(p.Text(name), 64)
	if err != nil {
		return 0
	}
	return n
}

// Duration returns a key's value as a duration.
func (p *Section) Duration(name string) time.Duration {
	d, err := time.ParseDuration(p.Text(name))
	if err != nil {
		return 0
	}
	return d
}

// Bool returns a key's value as a boolean.
func (p *Section) Bool(name string) bool {
	return p.Text(name) == "true"
}

// List returns the items of a comma-separated list, without empty ones.
func (p *Section) List(name string) []string {
	var all []string
	for item := range strings.SplitSeq(p.Text(name), ",") {
		if item = strings.TrimSpace(item); item != "" {
			all = append(all, item)
		}
	}
	return all
}

// Labels returns a key's value as a set of labels.
func (p *Section) Labels(name string) labels.Set {
	set, err := labels.ConvertSelectorToLabelsMap(p.Text(name))
	if err != nil {
		return nil
	}
	return set
}

// Selector returns a key's value as a label selector; an absent key selects everything.
func (p *Section) Selector(name string) labels.Selector {
	selector, err := labels.Parse(p.Text(name))
	if err != nil {
		return labels.Nothing()
	}
	return selector
}

// Diagnostic returns a diagnostic located at this section.
func (p *Section) Diagnostic(file, key, format string, args ...any) Diagnostic {
	section := p.Name
	if p.Title != "" {
		section = fmt.Sprintf("%s %q", p.Name, p.Title)
	}
	return Diagnostic{File: file, Line: p.Line, Section: section, Key: key, Message: fmt.Sprintf(format, args...)}
}

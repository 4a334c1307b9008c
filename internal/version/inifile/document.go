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
	// Document is a checked INI document.
	Document struct {
		Parts []Part
	}

	// Part is one section of a document.
	Part struct {
		Name, Title string
		Line        int

		section *Section
		values  map[string]string
	}

	// Fault is one thing wrong in a document.
	Fault struct {
		File    string
		Line    int
		Section string
		Key     string
		Message string
	}

	// Faults are all things wrong in a document.
	Faults []Fault
)

// String writes the fault as file:line: Section.Key: message.
func (f Fault) String() string {
	place := f.Section
	if f.Key != "" {
		place += "." + f.Key
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, place, f.Message)
}

// Error writes the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults in line order as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool { return f[i].Line < f[j].Line })
	return f
}

// Read reads a document against the table of its sections. It returns what could be read together with all faults.
func Read(file string, text []byte, sections []Section) (Document, Faults) {
	lines := locate(text)
	faults := lines.duplicates(file)
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return Document{}, append(faults, Fault{File: file, Line: 1, Section: "document", Message: err.Error()})
	}
	var document Document
	for _, read := range parsed.Sections() {
		if read.Name() == ini.DefaultSection && len(read.Keys()) == 0 {
			continue
		}
		part, found := readPart(file, read, sections, lines)
		faults = append(faults, found...)
		if part.section != nil {
			document.Parts = append(document.Parts, part)
		}
	}
	return document, faults
}

func readPart(file string, read *ini.Section, sections []Section, lines positions) (Part, Faults) {
	name, title := splitName(read.Name())
	part := Part{Name: name, Title: title, Line: lines.section(read.Name()), values: make(map[string]string)}
	fail := func(key, format string, args ...any) Fault {
		return Fault{File: file, Line: lines.key(read.Name(), key), Section: read.Name(), Key: key, Message: fmt.Sprintf(format, args...)}
	}
	for i := range sections {
		if sections[i].Name == name {
			part.section = &sections[i]
		}
	}
	if part.section == nil {
		return part, Faults{fail("", "unknown section, allowed are %s", names(sections))}
	}
	var faults Faults
	if part.section.Titled && title == "" {
		faults = append(faults, fail("", "the section needs a title, write [%s \"title\"]", name))
	}
	if !part.section.Titled && title != "" {
		faults = append(faults, fail("", "the section takes no title"))
	}
	for _, key := range read.Keys() {
		known := part.section.key(key.Name())
		if known == nil {
			faults = append(faults, fail(key.Name(), "unknown key, allowed are %s", part.section.keyNames()))
			continue
		}
		if err := known.Check(key.Value()); err != nil {
			faults = append(faults, fail(key.Name(), "%v", err))
			continue
		}
		part.values[key.Name()] = key.Value()
	}
	for _, key := range part.section.Keys {
		if key.Required && read.Key(key.Name).Value() == "" {
			faults = append(faults, fail(key.Name, "the key is missing or empty: %s", key.Doc))
		}
	}
	return part, faults
}

func splitName(full string) (name, title string) {
	name, rest, found := strings.Cut(full, " ")
	if !found {
		return full, ""
	}
	return name, strings.Trim(strings.TrimSpace(rest), `"`)
}

func names(sections []Section) string {
	all := make([]string, len(sections))
	for i, s := range sections {
		all[i] = s.Name
	}
	return strings.Join(all, ", ")
}

func (s *Section) key(name string) *Key {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

func (s *Section) keyNames() string {
	all := make([]string, len(s.Keys))
	for i, k := range s.Keys {
		all[i] = k.Name
	}
	return strings.Join(all, ", ")
}

// Of returns the parts of one section name.
func (d *Document) Of(name string) []Part {
	var found []Part
	for _, p := range d.Parts {
		if p.Name == name {
			found = append(found, p)
		}
	}
	return found
}

// One returns the part of an untitled section; an absent one has its defaults.
func (d *Document) One(name string, sections []Section) Part {
	if found := d.Of(name); len(found) > 0 {
		return found[0]
	}
	for i := range sections {
		if sections[i].Name == name {
			return Part{Name: name, section: &sections[i]}
		}
	}
	return Part{Name: name, section: &Section{}}
}

// Text returns a key's value, or its default.
func (p *Part) Text(name string) string {
	if value, found := p.values[name]; found {
		return value
	}
	if key := p.section.key(name); key != nil {
		return key.Default
	}
	return ""
}

// Int returns a whole number.
func (p *Part) Int(name string) int {
	n, err := strconv.Atoi(p.Text(name))
	if err != nil {
		return 0
	}
	return n
}

// Number returns a decimal number.
func (p *Part) Number(name string) float64 {
	n, err := strconv.ParseFloat(p.Text(name), 64)
	if err != nil {
		return 0
	}
	return n
}

// Duration returns a duration.
func (p *Part) Duration(name string) time.Duration {
	d, err := time.ParseDuration(p.Text(name))
	if err != nil {
		return 0
	}
	return d
}

// Bool returns a truth value.
func (p *Part) Bool(name string) bool {
	return p.Text(name) == "true"
}

// List returns the texts of a list.
func (p *Part) List(name string) []string {
	var all []string
	for item := range strings.SplitSeq(p.Text(name), ",") {
		if item = strings.TrimSpace(item); item != "" {
			all = append(all, item)
		}
	}
	return all
}

// Labels returns the labels of a key.
func (p *Part) Labels(name string) labels.Set {
	set, err := labels.ConvertSelectorToLabelsMap(p.Text(name))
	if err != nil {
		return nil
	}
	return set
}

// Selector returns the selector of a key; an absent one selects everything.
func (p *Part) Selector(name string) labels.Selector {
	selector, err := labels.Parse(p.Text(name))
	if err != nil {
		return labels.Nothing()
	}
	return selector
}

// Fault returns a fault at this part.
func (p *Part) Fault(file, key, format string, args ...any) Fault {
	section := p.Name
	if p.Title != "" {
		section = fmt.Sprintf("%s %q", p.Name, p.Title)
	}
	return Fault{File: file, Line: p.Line, Section: section, Key: key, Message: fmt.Sprintf(format, args...)}
}

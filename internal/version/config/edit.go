package config

import (
	"bytes"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/jujubegrade/jujubegrade/internal/version/inifile"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// InstanceEdit is a change to one instance's section. Nil fields leave the value unchanged.
type InstanceEdit struct {
	// Labels are added or replaced; an empty value removes the label.
	Labels map[string]string
	Drain  *bool
}

// EditInstance returns the document with edit applied to one instance's section, which is added if it is missing.
func EditInstance(text string, id ids.InstanceID, edit InstanceEdit) (string, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, []byte(text))
	if err != nil {
		return "", errors.Wrap(err, "malformed document")
	}
	section := findSection(file, "Instance", string(id))
	if section == nil {
		section = file.Section(fmt.Sprintf("Instance %q", string(id)))
	}
	if edit.Labels != nil {
		section.Key("Labels").SetValue(mergeLabels(section.Key("Labels").String(), edit.Labels))
	}
	if edit.Drain != nil {
		section.Key("Drain").SetValue(strconv.FormatBool(*edit.Drain))
	}
	return format(file)
}

// EvacuateDataCentre returns the document with the key Evacuate of a data centre set to a value. It returns an error if the
// document has no section for the data centre: adding one would offer the data centre to jobs.
func EvacuateDataCentre(text string, id ids.DataCentreID, evacuate bool) (string, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, []byte(text))
	if err != nil {
		return "", errors.Wrap(err, "malformed document")
	}
	section := findSection(file, "DataCentre", string(id))
	if section == nil {
		return "", errors.Newf("%q is not a data centre of the configuration", string(id))
	}
	section.Key("Evacuate").SetValue(strconv.FormatBool(evacuate))
	return format(file)
}

// findSection returns the section with a name and a title, which may be written with or without quotes, or nil.
func findSection(file *ini.File, name, title string) *ini.Section {
	for _, section := range file.Sections() {
		if n, t := inifile.SplitSectionName(section.Name()); n == name && t == title {
			return section
		}
	}
	return nil
}

func format(file *ini.File) (string, error) {
	var out bytes.Buffer
	if _, err := file.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "write document")
	}
	return out.String(), nil
}

func mergeLabels(old string, added map[string]string) string {
	key := inifile.KeySpec{Kind: inifile.Labels}
	merged := make(map[string]string)
	if key.Validate(old) == nil {
		for pair := range strings.SplitSeq(old, ",") {
			if name, value, found := strings.Cut(strings.TrimSpace(pair), "="); found {
				merged[name] = value
			}
		}
	}
	for name, value := range added {
		if value == "" {
			delete(merged, name)
			continue
		}
		merged[name] = value
	}
	pairs := make([]string, 0, len(merged))
	for name, value := range merged {
		pairs = append(pairs, name+"="+value)
	}
	sort.Strings(pairs)
	return strings.Join(pairs, ", ")
}

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
	section := file.Section(fmt.Sprintf("Instance %q", string(id)))
	if edit.Labels != nil {
		section.Key("Labels").SetValue(mergeLabels(section.Key("Labels").String(), edit.Labels))
	}
	if edit.Drain != nil {
		section.Key("Drain").SetValue(strconv.FormatBool(*edit.Drain))
	}
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

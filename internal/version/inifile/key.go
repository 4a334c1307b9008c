// Package inifile parses INI documents, validates them against a schema of sections and keys, and reports all errors
// in one pass.
package inifile

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/labels"
)

type (
	// Kind is the data type of a key's value.
	Kind string

	// KeySpec is the schema of one key of a section.
	KeySpec struct {
		Name string
		Kind Kind
		// Default is the value of an absent key, in the same notation as in the document.
		Default string
		// Min and Max bound numbers and durations, the latter in seconds. If both are zero, there is no bound.
		Min, Max float64
		// Unit is the unit of a number, for messages and the documentation.
		Unit string
		// Allowed lists the allowed values of a key of kind Enum.
		Allowed []string
		// Required keys must be present and not empty.
		Required bool
		Doc      string
	}

	// SectionSpec is the schema of one kind of section.
	SectionSpec struct {
		Name string
		// Titled sections have a title besides their name, as in [ClientAccount "north"].
		Titled bool
		Doc    string
		Keys   []KeySpec
	}
)

const (
	// Text is arbitrary text.
	Text Kind = "text"
	// Enum is one of the values in KeySpec.Allowed.
	Enum Kind = "word"
	// Integer is an integer.
	Integer Kind = "integer"
	// Number is a floating-point number.
	Number Kind = "number"
	// Duration is a duration with its unit, such as 250ms, 4.1s or 2h.
	Duration Kind = "duration"
	// Boolean is true or false.
	Boolean Kind = "boolean"
	// List is a comma-separated list of texts.
	List Kind = "list"
	// Labels is a comma-separated list of name=value pairs.
	Labels Kind = "labels"
	// Selector is a Kubernetes label selector.
	Selector Kind = "selector"
)

// Validate returns an error that says why a value is invalid and which values are allowed, or nil.
func (k *KeySpec) Validate(value string) error {
	switch k.Kind {
	case Enum:
		return k.checkAllowed(value)
	case Integer:
		n, err := strconv.Atoi(value)
		if err != nil {
			return errors.Newf("%q is not an integer%s", value, k.allowedSuffix())
		}
		return k.checkRange(value, float64(n))
	case Number:
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			return errors.Newf("%q is not a number%s", value, k.allowedSuffix())
		}
		return k.checkRange(value, n)
	case Duration:
		d, err := time.ParseDuration(value)
		if err != nil {
			return errors.Newf("%q is no duration, write one with its unit such as 250ms or 2h%s", value, k.allowedSuffix())
		}
		return k.checkRange(value, d.Seconds())
	case Boolean:
		if value != "true" && value != "false" {
			return errors.Newf("%q is neither true nor false", value)
		}
	case Labels:
		if _, err := labels.ConvertSelectorToLabelsMap(value); err != nil {
			return errors.Newf("%q is not a list of labels, write name=value, name=value", value)
		}
	case Selector:
		if _, err := labels.Parse(value); err != nil {
			return errors.Newf("%q is not a label selector: %v", value, err)
		}
	}
	return nil
}

func (k *KeySpec) checkAllowed(value string) error {
	for _, allowed := range k.Allowed {
		if value == allowed {
			return nil
		}
	}
	return errors.Newf("%q is not known, allowed are %s", value, strings.Join(k.Allowed, ", "))
}

func (k *KeySpec) checkRange(value string, n float64) error {
	if k.Min == 0 && k.Max == 0 {
		return nil
	}
	if n < k.Min || n > k.Max {
		return errors.Newf("%s is out of range%s", value, k.allowedSuffix())
	}
	return nil
}

func (k *KeySpec) allowedSuffix() string {
	if k.Min == 0 && k.Max == 0 {
		return ""
	}
	return ", allowed is " + k.AllowedValues()
}

// AllowedValues formats the allowed values, or the range with its unit. It is empty if the key has no bounds.
func (k *KeySpec) AllowedValues() string {
	if len(k.Allowed) > 0 {
		return strings.Join(k.Allowed, ", ")
	}
	if k.Min == 0 && k.Max == 0 {
		return ""
	}
	if k.Kind == Duration {
		return fmt.Sprintf("%v to %v", secondsToDuration(k.Min), secondsToDuration(k.Max))
	}
	text := fmt.Sprintf("%v to %v", k.Min, k.Max)
	if k.Unit != "" {
		text += " " + k.Unit
	}
	return text
}

func secondsToDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

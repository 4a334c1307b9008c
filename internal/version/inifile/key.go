// Package inifile reads INI documents against a table of sections and keys and reports every fault at once.
package inifile

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/labels"
)

type (
	// Kind is the type of a key's value.
	Kind string

	// Key describes one key of a section.
	Key struct {
		Name string
		Kind Kind
		// Default is the value of an absent key, in the key's own notation.
		Default string
		// Min and Max bound numbers and, in seconds, durations; both zero set no bound.
		Min, Max float64
		// Unit names the unit of a number.
		Unit string
		// Allowed lists the words that a Word may be.
		Allowed []string
		// Required demands that the key is present.
		Required bool
		Doc      string
	}

	// Section describes one kind of section.
	Section struct {
		Name string
		// Titled sections carry a title of their own, as in [ClientAccount "north"].
		Titled bool
		Doc    string
		Keys   []Key
	}
)

const (
	// Text is any text.
	Text Kind = "text"
	// Word is one of the allowed words.
	Word Kind = "word"
	// Integer is a whole number.
	Integer Kind = "integer"
	// Number is a decimal number.
	Number Kind = "number"
	// Duration is a time with its unit, such as 250ms, 4.1s or 2h.
	Duration Kind = "duration"
	// Boolean is true or false.
	Boolean Kind = "boolean"
	// List is a list of texts, separated by commas.
	List Kind = "list"
	// Labels is a list of name=value pairs, separated by commas.
	Labels Kind = "labels"
	// Selector is a Kubernetes label selector.
	Selector Kind = "selector"
)

// Check returns what is wrong with a value, and what is allowed.
func (k *Key) Check(value string) error {
	switch k.Kind {
	case Word:
		return k.checkWord(value)
	case Integer:
		n, err := strconv.Atoi(value)
		if err != nil {
			return errors.Newf("%q is no whole number%s", value, k.allowed())
		}
		return k.checkRange(value, float64(n))
	case Number:
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.Newf("%q is no number%s", value, k.allowed())
		}
		return k.checkRange(value, n)
	case Duration:
		d, err := time.ParseDuration(value)
		if err != nil {
			return errors.Newf("%q is no duration, write one with its unit such as 250ms or 2h%s", value, k.allowed())
		}
		return k.checkRange(value, d.Seconds())
	case Boolean:
		if _, err := strconv.ParseBool(value); err != nil {
			return errors.Newf("%q is neither true nor false", value)
		}
	case Labels:
		if _, err := labels.ConvertSelectorToLabelsMap(value); err != nil {
			return errors.Newf("%q is no list of labels, write name=value, name=value", value)
		}
	case Selector:
		if _, err := labels.Parse(value); err != nil {
			return errors.Newf("%q is no label selector: %v", value, err)
		}
	}
	return nil
}

func (k *Key) checkWord(value string) error {
	for _, word := range k.Allowed {
		if value == word {
			return nil
		}
	}
	return errors.Newf("%q is not known, allowed are %s", value, strings.Join(k.Allowed, ", "))
}

func (k *Key) checkRange(value string, n float64) error {
	if k.Min == 0 && k.Max == 0 {
		return nil
	}
	if n < k.Min || n > k.Max {
		return errors.Newf("%s is out of range%s", value, k.allowed())
	}
	return nil
}

func (k *Key) allowed() string {
	if k.Min == 0 && k.Max == 0 {
		return ""
	}
	return ", allowed is " + k.Range()
}

// Range writes the allowed range with its unit; it is empty if nothing bounds the key.
func (k *Key) Range() string {
	if len(k.Allowed) > 0 {
		return strings.Join(k.Allowed, ", ")
	}
	if k.Min == 0 && k.Max == 0 {
		return ""
	}
	if k.Kind == Duration {
		return fmt.Sprintf("%v to %v", seconds(k.Min), seconds(k.Max))
	}
	text := fmt.Sprintf("%v to %v", k.Min, k.Max)
	if k.Unit != "" {
		text += " " + k.Unit
	}
	return text
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

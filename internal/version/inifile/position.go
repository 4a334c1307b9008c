package inifile

import (
	"fmt"
	"strings"
)

// positions holds the line numbers of sections and keys in a document, since the INI parser doesn't report them.
type positions struct {
	sections map[string][]int
	keys     map[[2]string][]int
}

func findPositions(text []byte) positions {
	found := positions{sections: make(map[string][]int), keys: make(map[[2]string][]int)}
	section := ""
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
		case line[0] == '[':
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			found.sections[section] = append(found.sections[section], number)
		default:
			key, _, _ := strings.Cut(line, "=")
			position := [2]string{section, strings.TrimSpace(key)}
			found.keys[position] = append(found.keys[position], number)
		}
	}
	return found
}

func (p positions) section(name string) int {
	if lines := p.sections[name]; len(lines) > 0 {
		return lines[0]
	}
	return 1
}

func (p positions) key(section, key string) int {
	if lines := p.keys[[2]string{section, key}]; len(lines) > 0 {
		return lines[0]
	}
	return p.section(section)
}

func (p positions) duplicates(file string) Diagnostics {
	var diags Diagnostics
	for name, lines := range p.sections {
		for _, line := range lines[1:] {
			message := fmt.Sprintf("duplicate section, first at line %d", lines[0])
			diags = append(diags, Diagnostic{File: file, Line: line, Section: name, Message: message})
		}
	}
	for position, lines := range p.keys {
		for _, line := range lines[1:] {
			message := fmt.Sprintf("duplicate key, first at line %d", lines[0])
			diags = append(diags, Diagnostic{File: file, Line: line, Section: position[0], Key: position[1], Message: message})
		}
	}
	return diags
}

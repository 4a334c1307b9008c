package inifile

import (
	"fmt"
	"strings"
)

// Markdown formats the schema in sections as Markdown tables, for the documentation.
func Markdown(sections []SectionSpec) string {
	var b strings.Builder
	for _, s := range sections {
		title := s.Name
		if s.Titled {
			title += ` "title"`
		}
		fmt.Fprintf(&b, "### [%s]\n\n%s\n\n", title, s.Doc)
		b.WriteString("| Key | Kind | Default | Allowed | Meaning |\n|---|---|---|---|---|\n")
		for _, k := range s.Keys {
			defaultText := k.Default
			if k.Required {
				defaultText = "(required)"
			}
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", k.Name, k.Kind, defaultText, k.AllowedValues(), k.Doc)
		}
		b.WriteString("\n")
	}
	return b.String()
}

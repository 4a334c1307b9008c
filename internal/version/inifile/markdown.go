package inifile

import (
	"fmt"
	"strings"
)

// Markdown writes the table of sections and keys as a page's part.
func Markdown(sections []Section) string {
	var b strings.Builder
	for _, s := range sections {
		title := s.Name
		if s.Titled {
			title += ` "title"`
		}
		fmt.Fprintf(&b, "### [%s]\n\n%s\n\n", title, s.Doc)
		b.WriteString("| Key | Kind | Default | Allowed | Meaning |\n|---|---|---|---|---|\n")
		for _, k := range s.Keys {
			standard := k.Default
			if k.Required {
				standard = "(required)"
			}
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", k.Name, k.Kind, standard, k.Range(), k.Doc)
		}
		b.WriteString("\n")
	}
	return b.String()
}

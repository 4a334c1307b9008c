// Package examples holds the sample configurations.
package examples

import _ "embed"

var (
	// Kerotechni is the configuration of Kerotechni Software Athens.
	//
	//go:embed kerotechni.ini
	Kerotechni string
	// DarlingDowns is the configuration of Darling Downs Cabinet Power Co-operative.
	//
	//go:embed darling-downs.ini
	DarlingDowns string
)

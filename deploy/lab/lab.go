// Package deploylab holds the library of scenarios that portstall brings along: one YAML file each.
package deploylab

import (
	"embed"
	"strings"
)

//go:embed *.yaml
var files embed.FS

var scenarios = Library{files}

// Names lists the scenarios in alphabetical order.
func Names() []string { return scenarios.Names() }

// Read is the text of the scenario of that name; false where there is none.
func Read(name string) ([]byte, bool) { return scenarios.Read(name) }

// Library is a folder of YAML files in the binary, each called by its name without the ending.
type Library struct{ Files embed.FS }

// Names lists them in alphabetical order.
func (l Library) Names() []string {
	entries, _ := l.Files.ReadDir(".") // it is in the binary
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".yaml"))
	}
	return names
}

// Read is the text of the one of that name; false where there is none.
func (l Library) Read(name string) ([]byte, bool) {
	text, err := l.Files.ReadFile(name + ".yaml")
	return text, err == nil
}

// Package deploylab holds the library of scenarios that are built into portstall, one YAML file each.
package deploylab

import (
	"embed"
	"strings"
)

//go:embed *.yaml
var files embed.FS

var scenarios = Library{files}

// Names returns the names of the scenarios in alphabetical order.
func Names() []string { return scenarios.Names() }

// Read returns the text of the named scenario, and false if there is none.
func Read(name string) ([]byte, bool) { return scenarios.Read(name) }

// Library is a folder of YAML files embedded in the binary. Each is named by its file name without the extension.
type Library struct{ Files embed.FS }

// Names returns the names of the files in alphabetical order.
func (l Library) Names() []string {
	entries, _ := l.Files.ReadDir(".") // an embedded folder can always be read
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".yaml"))
	}
	return names
}

// Read returns the text of the named file, and false if there is none.
func (l Library) Read(name string) ([]byte, bool) {
	text, err := l.Files.ReadFile(name + ".yaml")
	return text, err == nil
}

// Package deployscale embeds the plans of `portstall lab scale`, one YAML file each.
package deployscale

import (
	"embed"

	deploylab "portstall/deploy/lab"
)

//go:embed *.yaml
var files embed.FS

// plans is the library that reads the embedded files.
var plans = deploylab.Library{Files: files}

// Names returns the names of the plans in alphabetical order.
func Names() []string { return plans.Names() }

// Read returns the text of the named plan, and false if there is none.
func Read(name string) ([]byte, bool) { return plans.Read(name) }

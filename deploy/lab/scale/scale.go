// Package deployscale holds the plans of `portstall lab scale` that portstall brings along: one YAML file each.
package deployscale

import (
	"embed"

	deploylab "portstall/deploy/lab"
)

//go:embed *.yaml
var files embed.FS

var plans = deploylab.Library{Files: files}

// Names lists the plans in alphabetical order.
func Names() []string { return plans.Names() }

// Read is the text of the plan of that name; false where there is none.
func Read(name string) ([]byte, bool) { return plans.Read(name) }

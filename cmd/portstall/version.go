package main

import (
	"fmt"
	"runtime/debug"
)

// versionCmd is the version command.
type versionCmd struct{}

// Run prints the module's version and, if the build recorded it, the commit.
func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("portstall (unknown)")
		return nil
	}
	fmt.Print("portstall ", info.Main.Version, " ", info.GoVersion)
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
			fmt.Print(" ", s.Key, "=", s.Value)
		}
	}
	fmt.Println()
	return nil
}

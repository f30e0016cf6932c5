package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"

	product "portstall/internal/config"
	"portstall/internal/control"
	"portstall/internal/lab/experiment"
	"portstall/internal/lab/scenario"
	"portstall/internal/node"
)

// configCmd is the config command.
type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Check a configuration file and name the field at fault if it is invalid."`
}

// configCheckCmd is the config check command.
type configCheckCmd struct {
	Replaces string `placeholder:"FILE" help:"Check a node's JSON configuration as a node does at SIGHUP that has FILE in force."`
	File     string `arg:"" help:"A node's JSON configuration, the product's YAML file, a scenario or experiment of the lab in YAML, or a folder of YAML files for a control process."`
}

// Run checks the file against the one that it replaces, or by the parser for its type, and prints that it is good.
func (c configCheckCmd) Run() error {
	if err := c.check(); err != nil {
		return usageError{err}
	}
	fmt.Println(c.File + ": good")
	return nil
}

// check returns what is wrong with the file.
func (c configCheckCmd) check() error {
	if c.Replaces != "" {
		return checkReplacement(c.Replaces, c.File)
	}
	if info, err := os.Stat(c.File); err == nil && info.IsDir() {
		return checkFolder(c.File)
	}
	if ext := filepath.Ext(c.File); ext == ".yaml" || ext == ".yml" {
		return checkYAML(c.File)
	}
	return checkNodeConfig(c.File)
}

// checkFolder checks a folder of files as a control process in the role of writer reads it.
func checkFolder(path string) error {
	_, err := control.CheckFiles(path)
	return err
}

// onlyConfig is the environment of a node that names its configuration file and nothing else.
func onlyConfig(path string) func(string) string {
	return func(name string) string {
		if name == "GW_CONFIG" {
			return path
		}
		return ""
	}
}

// checkNodeConfig checks a node's configuration as a node reads it at start, without the environment variables that
// override it.
func checkNodeConfig(path string) error {
	_, err := node.Load(onlyConfig(path))
	return locateError(path, err)
}

// checkReplacement checks a node's configuration as a node reads it at SIGHUP, without those variables.
func checkReplacement(inForce, path string) error {
	return locateError(path, node.CheckReplacement(onlyConfig(inForce), onlyConfig(path)))
}

// locateError adds the path to an error about a node's configuration, and the line where the JSON decoder reports an
// offset.
func locateError(path string, err error) error {
	if err == nil {
		return nil
	}
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	offset := int64(-1)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrongType):
		offset = wrongType.Offset
	}
	if text, readErr := os.ReadFile(path); readErr == nil && offset >= 0 && offset <= int64(len(text)) {
		return fmt.Errorf("%s:%d: %w", path, 1+bytes.Count(text[:offset], []byte("\n")), err)
	}
	return fmt.Errorf("%s: %w", path, err)
}

// scenarioName matches the top-level name of a scenario or an experiment, which the product's file does not have.
var scenarioName = regexp.MustCompile(`(?m)^name\s*:`)

// checkYAML checks a scenario, an experiment or the product's file.
func checkYAML(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	switch {
	case experiment.IsExperiment(text):
		_, err = experiment.Parse(path, text)
	case scenarioName.Match(text):
		_, err = scenario.Parse(path, text)
	default:
		_, err = product.Parse(path, text)
	}
	return err
}

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
	File string `arg:"" help:"A node's JSON configuration, the product's YAML file, a scenario or experiment of the lab in YAML, or a folder of YAML files for a control process."`
}

// Run checks the file by the parser for its type and prints that it is good.
func (c configCheckCmd) Run() error {
	check := checkNodeConfig
	if ext := filepath.Ext(c.File); ext == ".yaml" || ext == ".yml" {
		check = checkYAML
	}
	if info, err := os.Stat(c.File); err == nil && info.IsDir() {
		check = checkFolder
	}
	if err := check(c.File); err != nil {
		return usageError{err}
	}
	fmt.Println(c.File + ": good")
	return nil
}

// checkFolder checks a folder of files as a control process in the role of writer reads it.
func checkFolder(path string) error {
	_, err := control.CheckFiles(path)
	return err
}

// checkNodeConfig checks a node's configuration as a node reads it at start, without the environment variables that
// override it. Where the JSON decoder reports an offset, the error names the line.
func checkNodeConfig(path string) error {
	_, err := node.Load(func(name string) string {
		if name == "GW_CONFIG" {
			return path
		}
		return ""
	})
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

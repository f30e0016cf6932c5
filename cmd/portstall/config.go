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

type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Tell whether a file is one that can be used, and which field is at fault if not."`
}

type configCheckCmd struct {
	File string `arg:"" help:"A node's JSON configuration, the product's own file, a scenario or experiment of the lab in YAML, or a folder as a control process reads it."`
}

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

// checkFolder reads a folder as the control process would that writes.
func checkFolder(path string) error {
	_, err := control.CheckFiles(path)
	return err
}

// checkNodeConfig reads a node's configuration as a node would at its start, without the variables that go before it.
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
	var wrong *json.UnmarshalTypeError
	offset := int64(-1)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrong):
		offset = wrong.Offset
	}
	if text, e := os.ReadFile(path); e == nil && offset >= 0 && offset <= int64(len(text)) {
		return fmt.Errorf("%s:%d: %w", path, 1+bytes.Count(text[:offset], []byte("\n")), err)
	}
	return fmt.Errorf("%s: %w", path, err)
}

// named is what a scenario or an experiment has at its top, and the product's own file does not.
var named = regexp.MustCompile(`(?m)^name\s*:`)

// checkYAML reads a scenario, an experiment or the product's own file.
func checkYAML(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	switch {
	case experiment.IsExperiment(text):
		_, err = experiment.Parse(path, text)
	case named.Match(text):
		_, err = scenario.Parse(path, text)
	default:
		_, err = product.Parse(path, text)
	}
	return err
}

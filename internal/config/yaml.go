package config

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Decode reads YAML into v, rejecting unknown fields, and then calls check. An error names the file, the line and the
// field; the line of a *FieldError that check returns is looked up in the text.
func Decode(name string, text []byte, v any, check func() error) error {
	if err := yaml.UnmarshalWithOptions(text, v, yaml.Strict(), yaml.DisallowUnknownField()); err != nil {
		return withPosition(name, text, err)
	}
	err := check()
	var field *FieldError
	if !errors.As(err, &field) {
		return err
	}
	if file, e := parser.ParseBytes(text, 0); e == nil {
		if line := lineOf(file, field.Path); line > 0 {
			return fmt.Errorf("%s:%d: %w", name, line, err)
		}
	}
	return fmt.Errorf("%s: %w", name, err)
}

// invalidDuration matches the duration in an error of time.ParseDuration.
var invalidDuration = regexp.MustCompile(`duration "?([^"]+)"?`)

// durationAt returns ":" and the line of an invalid duration, which the error of the YAML library does not contain;
// empty where it is not found.
func durationAt(text []byte, err error) string {
	match := invalidDuration.FindStringSubmatch(err.Error())
	if match == nil {
		return ""
	}
	for i, line := range strings.Split(string(text), "\n") {
		if _, value, ok := strings.Cut(line, ": "); ok && strings.Contains(value, match[1]) {
			return fmt.Sprintf(":%d", i+1)
		}
	}
	return ""
}

// lineOf returns the line of a field by its path, 0 where the text does not have it.
func lineOf(file *ast.File, path string) int {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return 0
	}
	node, err := p.FilterFile(file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// FieldError is an invalid value of a field.
type FieldError struct {
	Path   string // of the field, as in classes[1].aim
	Reason string
}

// Error returns the path and the reason.
func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// ParsePartial reads one of several files that form a configuration together. It rejects unknown fields, but values may
// refer to what is in another file, so nothing else is checked. The function line returns the line of a value by its
// path, as in contracts[3].rate, and 0 where the text does not have it. An error names file and line.
func ParsePartial(name string, text []byte) (f *File, line func(path string) int, err error) {
	f = &File{}
	lineAt := func(string) int { return 0 }
	file, err := parser.ParseBytes(text, 0)
	if err == nil && len(file.Docs) > 0 && file.Docs[0].Body != nil {
		lineAt = func(path string) int { return lineOf(file, path) }
		err = yaml.NodeToValue(file.Docs[0].Body, f, yaml.Strict(), yaml.DisallowUnknownField())
	}
	if err != nil {
		return nil, nil, withPosition(name, text, err)
	}
	return f, lineAt, nil
}

// withPosition adds file and line to an error of the YAML library.
func withPosition(name string, text []byte, err error) error {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		return fmt.Errorf("%s:%d: %s", name, yamlErr.GetToken().Position.Line, yamlErr.GetMessage())
	}
	return fmt.Errorf("%s%s: %w", name, durationAt(text, err), err)
}

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

// Decode reads strict YAML into v and then checks it. An error names the file, the line and the field: a *FieldError of
// check is placed by the text.
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

var invalidDuration = regexp.MustCompile(`duration "?([^"]+)"?`)

// durationAt finds the line of a duration that can't be read, which the library's error does not tell.
func durationAt(text []byte, err error) string {
	m := invalidDuration.FindStringSubmatch(err.Error())
	if m == nil {
		return ""
	}
	for i, line := range strings.Split(string(text), "\n") {
		if _, value, ok := strings.Cut(line, ": "); ok && strings.Contains(value, m[1]) {
			return fmt.Sprintf(":%d", i+1)
		}
	}
	return ""
}

// lineOf is the line of a field, 0 where the text does not have it.
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

// FieldError is a value that makes no sense.
type FieldError struct {
	Path string // of the field, as in classes[1].aim
	Why  string
}

func (e *FieldError) Error() string { return e.Path + ": " + e.Why }

// ParsePart reads a file that may hold any part of the product's file, of which the rest is in others: strict YAML, in which what is
// put together may be missing. Nothing is checked beyond the form. Line is where a value stands by its path, as in contracts[3].rate;
// 0 where the text does not have it. An error names file and line.
func ParsePart(name string, text []byte) (f *File, line func(path string) int, err error) {
	f = &File{}
	at := func(string) int { return 0 }
	file, err := parser.ParseBytes(text, 0)
	if err == nil && len(file.Docs) > 0 && file.Docs[0].Body != nil {
		at = func(path string) int { return lineOf(file, path) }
		err = yaml.NodeToValue(file.Docs[0].Body, f, yaml.Strict(), yaml.DisallowUnknownField())
	}
	if err != nil {
		return nil, nil, withPosition(name, text, err)
	}
	return f, at, nil
}

// placed is an error of the library with file and line.
func withPosition(name string, text []byte, err error) error {
	var at yaml.Error
	if errors.As(err, &at) && at.GetToken() != nil {
		return fmt.Errorf("%s:%d: %s", name, at.GetToken().Position.Line, at.GetMessage())
	}
	return fmt.Errorf("%s%s: %w", name, durationAt(text, err), err)
}

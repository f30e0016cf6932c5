package config

import (
	"fmt"
	"strings"
	"testing"
)

const currentFile = `services:
- {name: reading, classes: [{name: view}]}
contracts:
- {name: app, match: [{tenant: app}], rate: 5, burst: 20}
- {name: jobs, match: [{tenant: jobs}], rate: 1}
- name: rest
  rate: 10
...
`

// A file with the end marker that is truncated at any byte is not accepted in place of the complete one, though many of
// its beginnings are valid files.
func TestTruncatedFileWithEndMarkerIsRejected(t *testing.T) {
	old, err := Parse("p.yaml", []byte(currentFile))
	if err != nil {
		t.Fatal(err)
	}
	valid := 0
	for i := range currentFile {
		f, err := Parse("p.yaml", []byte(currentFile[:i]))
		if err != nil {
			continue
		}
		valid++
		if f.CheckReplacement(old) == nil {
			t.Errorf("the first %d bytes replace the complete file: %q", i, currentFile[max(0, i-20):i])
		}
	}
	if valid < 20 {
		t.Errorf("only %d beginnings are valid files: the test has no effect", valid)
	}
	for name, text := range map[string]string{
		"itself":           currentFile,
		"other contracts":  "contracts:\n- {name: all}\n...\n",
		"with empty lines": strings.TrimSuffix(currentFile, "\n") + "\n\n",
	} {
		f, err := Parse("p.yaml", []byte(text))
		if err != nil || f.CheckReplacement(old) != nil {
			t.Errorf("%s: %v", name, fmt.Sprint(err, f.CheckReplacement(old)))
		}
	}
}

// Without the end marker, a file that ends within a line and an empty one are still rejected.
func TestTruncatedOrEmptyFileWithoutEndMarkerIsRejected(t *testing.T) {
	old, err := Parse("p.yaml", []byte("contracts:\n- {name: all, rate: 100}\n"))
	if err != nil {
		t.Fatal(err)
	}
	for text, ok := range map[string]bool{"": false, "# to be written\n": false, "contracts:\n- {name: all, rate: 100}": false,
		"contracts:\n- {name: all}\n": true} {
		f, err := Parse("p.yaml", []byte(text))
		if err != nil {
			t.Errorf("%q: %v", text, err)
		} else if err := f.CheckReplacement(old); (err == nil) != ok {
			t.Errorf("%q: %v", text, err)
		}
	}
}

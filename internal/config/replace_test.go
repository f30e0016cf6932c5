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

// A file that is cut off at any byte is not one that can take another's place, though most of its lines by themselves could.
func TestReplacesNoPart(t *testing.T) {
	old, err := Parse("p.yaml", []byte(currentFile))
	if err != nil {
		t.Fatal(err)
	}
	sound := 0
	for i := range currentFile {
		f, err := Parse("p.yaml", []byte(currentFile[:i]))
		if err != nil {
			continue
		}
		sound++
		if f.Replaces(old) == nil {
			t.Errorf("the first %d bytes replace the whole: %q", i, currentFile[max(0, i-20):i])
		}
	}
	if sound < 20 {
		t.Errorf("%d parts are files of their own: the test shows nothing", sound)
	}
	for name, text := range map[string]string{
		"itself":           currentFile,
		"other contracts":  "contracts:\n- {name: all}\n...\n",
		"with empty lines": strings.TrimSuffix(currentFile, "\n") + "\n\n",
	} {
		f, err := Parse("p.yaml", []byte(text))
		if err != nil || f.Replaces(old) != nil {
			t.Errorf("%s: %v", name, fmt.Sprint(err, f.Replaces(old)))
		}
	}
}

// Without the mark, a line that breaks off and a file with nothing in it are still told.
func TestReplacesUnmarked(t *testing.T) {
	old, err := Parse("p.yaml", []byte("contracts:\n- {name: all, rate: 100}\n"))
	if err != nil {
		t.Fatal(err)
	}
	for text, ok := range map[string]bool{"": false, "# to be written\n": false, "contracts:\n- {name: all, rate: 100}": false,
		"contracts:\n- {name: all}\n": true} {
		f, err := Parse("p.yaml", []byte(text))
		if err != nil {
			t.Errorf("%q: %v", text, err)
		} else if err := f.Replaces(old); (err == nil) != ok {
			t.Errorf("%q: %v", text, err)
		}
	}
}

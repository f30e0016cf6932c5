package control

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"portstall/internal/resource"
)

// folder is a folder of files with this text each, last changed long ago.
func writeFolder(t testing.TB, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		writeFile(t, filepath.Join(dir, name), text)
	}
	return dir
}

// put writes a file in one step, as an editor does, and makes it old, so that its time alone tells that it did not change.
func writeFile(t testing.TB, path, text string) {
	t.Helper()
	tmp := path + ".new"
	if err := os.WriteFile(tmp, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	old := time.Now().Add(-time.Hour)
	if err := os.Chtimes(tmp, old, old); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(tmp, path); err != nil {
		t.Fatal(err)
	}
}

func contractText(names ...string) string {
	var b strings.Builder
	b.WriteString("contracts:\n")
	for _, n := range names {
		fmt.Fprintf(&b, "  - name: %s\n    match: [{tenant: %s}]\n    rate: 5\n", n, n)
	}
	return b.String()
}

func resourceNames(all []resource.Resource) string {
	var out []string
	for _, r := range all {
		out = append(out, string(r.Kind)+" "+r.Name)
	}
	return strings.Join(out, ", ")
}

func loadAndAccept(t testing.TB, s *Loader, want string) {
	t.Helper()
	r, err := s.Read()
	if err != nil {
		t.Fatal(err)
	}
	s.Accept(r)
	if got := resourceNames(s.All()); got != want {
		t.Fatalf("read %s, want %s", got, want)
	}
}

// Only what changed is read: one file of many, none where none did, and what is gone goes without a reading.
func TestLoaderReadsOnlyChangedFiles(t *testing.T) {
	t.Parallel()
	files := map[string]string{".hidden.yaml": "no: yaml: at: all", "note.txt": "x", "y.yaml~": "x"}
	want := []string{}
	for i := range 50 {
		files[fmt.Sprintf("%02d.yaml", i)] = contractText(fmt.Sprintf("c%02d", i))
		want = append(want, fmt.Sprintf("contract c%02d", i))
	}
	dir := writeFolder(t, files)
	if err := os.MkdirAll(filepath.Join(dir, "deeper.yaml.d"), 0o700); err != nil {
		t.Fatal(err)
	}
	writeFile(t, filepath.Join(dir, "deeper.yaml.d", "z.yaml"), contractText("deep"))
	s := NewSource(dir)
	loadAndAccept(t, s, strings.Join(want, ", "))
	if s.Reads() != 50 {
		t.Fatalf("%d files read of 50", s.Reads())
	}
	loadAndAccept(t, s, strings.Join(want, ", "))
	if s.Reads() != 50 {
		t.Errorf("%d files read where none changed", s.Reads()-50)
	}
	writeFile(t, filepath.Join(dir, "07.yaml"), contractText("c07", "new"))
	want[7] = "contract c07, contract new"
	loadAndAccept(t, s, strings.Join(want, ", "))
	if s.Reads() != 51 {
		t.Errorf("%d files read for one that changed", s.Reads()-50)
	}
	if at, want := s.Location(resource.Key{Kind: resource.Contract, Name: "new"}), filepath.Join(dir, "07.yaml")+":5"; at != want {
		t.Errorf("it stands at %s, want %s", at, want)
	}
	if err := os.Remove(filepath.Join(dir, "03.yaml")); err != nil {
		t.Fatal(err)
	}
	loadAndAccept(t, s, strings.Join(append(want[:3:3], want[4:]...), ", "))
	if s.Reads() != 51 {
		t.Errorf("%d files read for one that is gone", s.Reads()-51)
	}
}

// A file that changed a moment ago may change once more without another time or size: its text is read, and what it says is not read anew.
func TestRecentlyModifiedFileIsReadAgain(t *testing.T) {
	t.Parallel()
	dir := writeFolder(t, map[string]string{"a.yaml": contractText("old")})
	path := filepath.Join(dir, "a.yaml")
	s := NewSource(dir)
	loadAndAccept(t, s, "contract old")
	// The same inode, size and time: only the text tells.
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	f := s.files[path]
	f.readAt = info.ModTime()
	text := contractText("new")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(path, info.ModTime(), info.ModTime()); err != nil {
		t.Fatal(err)
	}
	info, err = os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	f.stamp = stampOf(info)
	loadAndAccept(t, s, "contract new")
}

// What is wrong names the file and the line, and the next reading reads no more than that file.
func TestLoadErrorsNameFileAndLine(t *testing.T) {
	t.Parallel()
	good := contractText("good")
	for _, c := range []struct{ name, before, text, want string }{
		{"a field that is not known", "", "contracts:\n  - name: a\n    rates: 5\n", `b.yaml:3: unknown field "rates"`},
		{"a figure outside its bounds", "", "contracts:\n  - name: a\n    match: [{tenant: a}]\n    rate: -1\n", "b.yaml:4: contracts[0].rate: -1 is outside"},
		{"not YAML", "", "contracts: [", "b.yaml:1: "},
		{"twice in a file", "", contractText("a", "a"), `b.yaml:5: contracts[1].name: contract "a" is at line 2 already`},
		{"twice in two files", "", contractText("a", "good"), `b.yaml:5: contract "good" is in `},
		{"emptied", contractText("a"), "", "b.yaml: nothing is in it"},
		{"cut off in a line", contractText("a", "b"), strings.TrimSuffix(contractText("a"), "\n"), "b.yaml: its last line has no end"},
		{"cut off at a line", contractText("a", "b") + "...\n", contractText("a"), `b.yaml: it does not end with the line "..."`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := writeFolder(t, map[string]string{"a.yaml": good, "c.yaml": contractText("c")})
			path := filepath.Join(dir, "b.yaml")
			s := NewSource(dir)
			if c.before != "" {
				writeFile(t, path, c.before)
				r, err := s.Read()
				if err != nil {
					t.Fatal(err)
				}
				s.Accept(r)
			}
			writeFile(t, path, c.text)
			for range 2 {
				if _, err := s.Read(); err == nil || !strings.Contains(err.Error(), c.want) {
					t.Fatalf("%v, want %s", err, c.want)
				}
			}
			if strings.Contains(c.want, `"good" is in `) {
				if _, err := s.Read(); !strings.Contains(err.Error(), filepath.Join(dir, "a.yaml")+":2 already") {
					t.Errorf("%v does not name both files", err)
				}
			}
			before := s.Reads()
			writeFile(t, path, contractText("mended")+"...\n")
			loadAndAccept(t, s, "contract good, contract mended, contract c")
			if n := s.Reads() - before; n != 1 {
				t.Errorf("%d files read where one was mended", n)
			}
		})
	}
}

// Bounds, and a place where nothing is.
func TestLoadLimits(t *testing.T) {
	t.Parallel()
	empty := t.TempDir()
	big := filepath.Join(t.TempDir(), "big.yaml")
	if err := os.WriteFile(big, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(big, MaxFileBytes+1); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ path, want string }{
		{empty, "no file *.yaml is in it"},
		{filepath.Join(empty, "none"), "no such file"},
		{big, fmt.Sprintf("%d bytes: at most %d", MaxFileBytes+1, MaxFileBytes)},
		{os.DevNull, "is no file"},
	} {
		if _, err := NewSource(c.path).Read(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.path, err, c.want)
		}
	}
	many := t.TempDir()
	for i := range MaxFiles + 1 {
		if err := os.Symlink("x", filepath.Join(many, fmt.Sprint(i, ".yaml"))); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := NewSource(many).Read(); err == nil || !strings.Contains(err.Error(), "10001 files: at most 10000") {
		t.Errorf("%v", err)
	}
}

// A file that is written, or replaced, while it is read is read again; one that does so for ever is an error.
func TestFileThatChangesWhileItIsRead(t *testing.T) {
	t.Parallel()
	dir := writeFolder(t, map[string]string{"a.yaml": contractText("one")})
	path := filepath.Join(dir, "a.yaml")
	s := NewSource(dir)
	times := 0
	s.onRead = func(p string) {
		switch times++; times {
		case 1: // appended to, in place
			f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
			if err != nil {
				t.Error(err)
				return
			}
			defer f.Close()
			if _, err := f.WriteString(strings.TrimPrefix(contractText("two"), "contracts:\n")); err != nil {
				t.Error(err)
			}
		case 2: // another file takes its name
			writeFile(t, path, contractText("three", "four"))
		}
	}
	loadAndAccept(t, s, "contract three, contract four")
	if s.Reads() != 3 {
		t.Errorf("%d readings", s.Reads())
	}
	s.onRead = func(string) { writeFile(t, path, contractText("three", "four")+strings.Repeat("#\n", times)); times++ }
	writeFile(t, path, contractText("five"))
	if _, err := s.Read(); err == nil || !strings.Contains(err.Error(), "it is being written") {
		t.Errorf("%v", err)
	}
}

// What the resources are to each other is checked too, for the whole folder.
func TestCheckFiles(t *testing.T) {
	t.Parallel()
	services := "services:\n  - name: shop\n    classes: [{name: view}]\n"
	uses := "contracts:\n  - name: a\n    match: [{tenant: a}]\n    services: [shop]\n"
	if n, err := CheckFiles(writeFolder(t, map[string]string{"a.yaml": uses, "b.yaml": services})); n != 2 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
	dir := writeFolder(t, map[string]string{"a.yaml": uses})
	want := filepath.Join(dir, "a.yaml") + `:2: contract "a": services[0]: "shop" is no service here`
	if _, err := CheckFiles(dir); err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}

// What a reading tells is what differs from what was accepted, whatever was read and not accepted meanwhile: resources that move between files,
// files that take another name, a reading that was refused.
func TestLoadReturnsDifferenceFromAccepted(t *testing.T) {
	t.Parallel()
	dir := writeFolder(t, map[string]string{"a.yaml": contractText("a", "b"), "c.yaml": contractText("c")})
	s := NewSource(dir)
	want := func(put, gone string, accept bool) {
		t.Helper()
		r, err := s.Read()
		if err != nil {
			t.Fatal(err)
		}
		var keys []resource.Resource
		for _, k := range r.Gone {
			keys = append(keys, resource.Resource{Key: k})
		}
		if resourceNames(r.Put) != put || resourceNames(keys) != gone {
			t.Fatalf("put %s, gone %s; want %s and %s", resourceNames(r.Put), resourceNames(keys), put, gone)
		}
		if accept {
			s.Accept(r)
		}
	}
	want("contract a, contract b, contract c", "", false)
	want("contract a, contract b, contract c", "", true)
	want("", "", true)
	// b moves to another file, and c.yaml takes another name: nothing differs.
	writeFile(t, filepath.Join(dir, "a.yaml"), contractText("a"))
	writeFile(t, filepath.Join(dir, "b.yaml"), contractText("b"))
	if err := os.Rename(filepath.Join(dir, "c.yaml"), filepath.Join(dir, "d.yaml")); err != nil {
		t.Fatal(err)
	}
	want("", "", true)
	// A change that is refused is told again with the next one, and not once it is taken back.
	writeFile(t, filepath.Join(dir, "d.yaml"), strings.Replace(contractText("c"), "5", "6", 1))
	want("contract c", "", false)
	writeFile(t, filepath.Join(dir, "b.yaml"), contractText("x"))
	want("contract x, contract c", "contract b", false)
	writeFile(t, filepath.Join(dir, "d.yaml"), contractText("c"))
	want("contract x", "contract b", true)
	if got := resourceNames(s.All()); got != "contract a, contract x, contract c" {
		t.Errorf("all: %s", got)
	}
	// Twice, in a file that changed and in one that did not, and in two that changed.
	writeFile(t, filepath.Join(dir, "b.yaml"), contractText("a"))
	if _, err := s.Read(); err == nil || !strings.Contains(err.Error(), `b.yaml:2: contract "a" is in `+filepath.Join(dir, "a.yaml")+":2 already") {
		t.Error(err)
	}
	writeFile(t, filepath.Join(dir, "a.yaml"), contractText("y"))
	writeFile(t, filepath.Join(dir, "b.yaml"), contractText("a", "y"))
	if _, err := s.Read(); err == nil || !strings.Contains(err.Error(), `b.yaml:5: contract "y" is in `+filepath.Join(dir, "a.yaml")+":2 already") {
		t.Error(err)
	}
	writeFile(t, filepath.Join(dir, "b.yaml"), contractText("a"))
	want("contract y", "contract x", true)
}

// Whatever is written, moved and taken away, and whether or not it is accepted: what a reading tells leads from what was accepted to just what
// the files say, and a resource in two files is always found.
func TestAcceptedDiffsLeadToFileContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "source")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		s := NewSource(dir)
		files, in := map[string]map[string]int{}, map[string]int{} // contracts and their rates: by file, and as accepted
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			for range rapid.IntRange(1, 3).Draw(t, "edits") {
				name := rapid.SampledFrom([]string{"a.yaml", "b.yaml", "c.yaml"}).Draw(t, "file")
				path := filepath.Join(dir, name)
				if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
					delete(files, name)
					os.Remove(path)
					continue
				}
				files[name] = rapid.MapOfN(rapid.SampledFrom([]string{"u", "v", "w", "x"}), rapid.IntRange(1, 2), 1, 2).Draw(t, "contracts")
				var text strings.Builder
				text.WriteString("contracts:\n")
				for _, c := range slices.Sorted(maps.Keys(files[name])) {
					fmt.Fprintf(&text, "- {name: %s, match: [{tenant: %s}], rate: %d}\n", c, c, files[name][c])
				}
				if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			all, twice := map[string]int{}, false
			for _, f := range files {
				for c, rate := range f {
					_, dup := all[c]
					all[c], twice = rate, twice || dup
				}
			}
			r, err := s.Read()
			if wrong := twice || len(files) == 0; wrong || err != nil {
				if !wrong || err == nil {
					t.Fatalf("%v of %v", err, files)
				}
				continue
			}
			for _, put := range r.Put {
				if in[put.Name] == all[put.Name] || !strings.Contains(string(put.Spec), fmt.Sprintf(`"rate":%d`, all[put.Name])) {
					t.Fatalf("put %s %s; in force %v, files %v", put.Name, put.Spec, in, all)
				}
			}
			differs := 0
			for c := range all {
				if in[c] != all[c] {
					differs++
				}
			}
			for _, k := range r.Gone {
				if all[k.Name] != 0 || in[k.Name] == 0 {
					t.Fatalf("gone %s; in force %v, files %v", k.Name, in, all)
				}
			}
			gone := 0
			for c := range in {
				if all[c] == 0 {
					gone++
				}
			}
			if len(r.Put) != differs || len(r.Gone) != gone {
				t.Fatalf("put %s, gone %v; in force %v, files %v", resourceNames(r.Put), r.Gone, in, all)
			}
			if rapid.Bool().Draw(t, "accept") {
				s.Accept(r)
				in = all
				if len(s.All()) != len(all) {
					t.Fatalf("all: %s, files %v", resourceNames(s.All()), all)
				}
			}
		}
	})
}

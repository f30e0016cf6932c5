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

// writeFolder makes a folder of files with the given texts, last modified an hour ago.
func writeFolder(t testing.TB, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		writeFile(t, filepath.Join(dir, name), text)
	}
	return dir
}

// writeFile replaces a file in one step, as an editor does, with a modification time an hour ago, so that the loader
// does not read it again for its recent change.
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

// contractText returns a file's text that defines contracts of these names.
func contractText(names ...string) string {
	var b strings.Builder
	b.WriteString("contracts:\n")
	for _, n := range names {
		fmt.Fprintf(&b, "  - name: %s\n    match: [{tenant: %s}]\n    rate: 5\n", n, n)
	}
	return b.String()
}

// resourceNames lists resources as "kind name", separated by commas.
func resourceNames(all []resource.Resource) string {
	var out []string
	for _, r := range all {
		out = append(out, string(r.Kind)+" "+r.Name)
	}
	return strings.Join(out, ", ")
}

// loadAndAccept loads the files, accepts the result, and compares all accepted resources with want.
func loadAndAccept(t testing.TB, loader *Loader, want string) {
	t.Helper()
	r, err := loader.Load()
	if err != nil {
		t.Fatal(err)
	}
	loader.Accept(r)
	if got := resourceNames(loader.All()); got != want {
		t.Fatalf("loaded %s, want %s", got, want)
	}
}

// Only changed files are read: one file of many, none where none changed, and none where one was removed. Hidden files,
// files of other names and subfolders are ignored.
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
	loader := NewLoader(dir)
	loadAndAccept(t, loader, strings.Join(want, ", "))
	if loader.FilesRead() != 50 {
		t.Fatalf("%d files were read, want 50", loader.FilesRead())
	}
	loadAndAccept(t, loader, strings.Join(want, ", "))
	if loader.FilesRead() != 50 {
		t.Errorf("%d files were read where none had changed", loader.FilesRead()-50)
	}
	writeFile(t, filepath.Join(dir, "07.yaml"), contractText("c07", "new"))
	want[7] = "contract c07, contract new"
	loadAndAccept(t, loader, strings.Join(want, ", "))
	if loader.FilesRead() != 51 {
		t.Errorf("%d files were read where one had changed", loader.FilesRead()-50)
	}
	if at, want := loader.Location(resource.Key{Kind: resource.Contract, Name: "new"}), filepath.Join(dir, "07.yaml")+":5"; at != want {
		t.Errorf("the resource begins at %s, want %s", at, want)
	}
	if err := os.Remove(filepath.Join(dir, "03.yaml")); err != nil {
		t.Fatal(err)
	}
	loadAndAccept(t, loader, strings.Join(append(want[:3:3], want[4:]...), ", "))
	if loader.FilesRead() != 51 {
		t.Errorf("%d files were read where one was removed", loader.FilesRead()-51)
	}
}

// A file that was modified just before it was read may be modified again without a new time or size: it is read again,
// and not only its stamp is compared.
func TestRecentlyModifiedFileIsReadAgain(t *testing.T) {
	t.Parallel()
	dir := writeFolder(t, map[string]string{"a.yaml": contractText("old")})
	path := filepath.Join(dir, "a.yaml")
	loader := NewLoader(dir)
	loadAndAccept(t, loader, "contract old")
	// The same inode, size and time: only the content differs.
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	f := loader.files[path]
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
	loadAndAccept(t, loader, "contract new")
}

// An error names file and line, and the next load reads only the file that was invalid.
func TestLoadErrorsNameFileAndLine(t *testing.T) {
	t.Parallel()
	good := contractText("good")
	for _, c := range []struct{ name, before, text, want string }{
		{"unknown field", "", "contracts:\n  - name: a\n    rates: 5\n", `b.yaml:3: unknown field "rates"`},
		{"number out of range", "", "contracts:\n  - name: a\n    match: [{tenant: a}]\n    rate: -1\n", "b.yaml:4: contracts[0].rate: -1 is outside"},
		{"not YAML", "", "contracts: [", "b.yaml:1: "},
		{"defined twice in a file", "", contractText("a", "a"), `b.yaml:5: contracts[1].name: contract "a" is at line 2 already`},
		{"defined in two files", "", contractText("a", "good"), `b.yaml:5: contract "good" is in `},
		{"emptied", contractText("a"), "", "b.yaml: the file has no resources any more"},
		{"truncated within a line", contractText("a", "b"), strings.TrimSuffix(contractText("a"), "\n"), "b.yaml: the last line has no newline"},
		{"truncated at the end of a line", contractText("a", "b") + "...\n", contractText("a"), `b.yaml: the last line is not "..."`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := writeFolder(t, map[string]string{"a.yaml": good, "c.yaml": contractText("c")})
			path := filepath.Join(dir, "b.yaml")
			loader := NewLoader(dir)
			if c.before != "" {
				writeFile(t, path, c.before)
				r, err := loader.Load()
				if err != nil {
					t.Fatal(err)
				}
				loader.Accept(r)
			}
			writeFile(t, path, c.text)
			for range 2 {
				if _, err := loader.Load(); err == nil || !strings.Contains(err.Error(), c.want) {
					t.Fatalf("error %v, want %s", err, c.want)
				}
			}
			if strings.Contains(c.want, `"good" is in `) {
				if _, err := loader.Load(); !strings.Contains(err.Error(), filepath.Join(dir, "a.yaml")+":2 already") {
					t.Errorf("error %v does not name both files", err)
				}
			}
			before := loader.FilesRead()
			writeFile(t, path, contractText("fixed")+"...\n")
			loadAndAccept(t, loader, "contract good, contract fixed, contract c")
			if n := loader.FilesRead() - before; n != 1 {
				t.Errorf("%d files were read where one was corrected", n)
			}
		})
	}
}

// Exceeding a limit, an empty folder, a missing path and a path that is not a regular file are errors.
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
		{empty, "no *.yaml files found"},
		{filepath.Join(empty, "none"), "no such file"},
		{big, fmt.Sprintf("%d bytes: at most %d", MaxFileBytes+1, MaxFileBytes)},
		{os.DevNull, "not a regular file"},
	} {
		if _, err := NewLoader(c.path).Load(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %s", c.path, err, c.want)
		}
	}
	many := t.TempDir()
	for i := range MaxFiles + 1 {
		if err := os.Symlink("x", filepath.Join(many, fmt.Sprint(i, ".yaml"))); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := NewLoader(many).Load(); err == nil || !strings.Contains(err.Error(), "10001 files: at most 10000") {
		t.Errorf("%v", err)
	}
}

// A file that is modified or replaced while it is read is read again. If that happens at each attempt the load fails.
func TestFileThatChangesWhileItIsRead(t *testing.T) {
	t.Parallel()
	dir := writeFolder(t, map[string]string{"a.yaml": contractText("one")})
	path := filepath.Join(dir, "a.yaml")
	loader := NewLoader(dir)
	times := 0
	loader.onRead = func(p string) {
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
	loadAndAccept(t, loader, "contract three, contract four")
	if loader.FilesRead() != 3 {
		t.Errorf("the file was read %d times, want 3", loader.FilesRead())
	}
	loader.onRead = func(string) { writeFile(t, path, contractText("three", "four")+strings.Repeat("#\n", times)); times++ }
	writeFile(t, path, contractText("five"))
	if _, err := loader.Load(); err == nil || !strings.Contains(err.Error(), "it is being written") {
		t.Errorf("%v", err)
	}
}

// CheckFiles also checks how the resources of a folder fit each other.
func TestCheckFiles(t *testing.T) {
	t.Parallel()
	services := "services:\n  - name: shop\n    classes: [{name: view}]\n"
	uses := "contracts:\n  - name: a\n    match: [{tenant: a}]\n    services: [shop]\n"
	if n, err := CheckFiles(writeFolder(t, map[string]string{"a.yaml": uses, "b.yaml": services})); n != 2 || err != nil {
		t.Errorf("%d resources, error %v; want 2, nil", n, err)
	}
	dir := writeFolder(t, map[string]string{"a.yaml": uses})
	want := filepath.Join(dir, "a.yaml") + `:2: contract "a": services[0]: "shop" is no service here`
	if _, err := CheckFiles(dir); err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}

// Load returns the difference from what was accepted, whatever was loaded without being accepted meanwhile: resources
// that move between files, files that are renamed, a load that was rejected.
func TestLoadReturnsDifferenceFromAccepted(t *testing.T) {
	t.Parallel()
	dir := writeFolder(t, map[string]string{"a.yaml": contractText("a", "b"), "c.yaml": contractText("c")})
	loader := NewLoader(dir)
	want := func(put, gone string, accept bool) {
		t.Helper()
		r, err := loader.Load()
		if err != nil {
			t.Fatal(err)
		}
		var keys []resource.Resource
		for _, k := range r.Removed {
			keys = append(keys, resource.Resource{Key: k})
		}
		if resourceNames(r.Put) != put || resourceNames(keys) != gone {
			t.Fatalf("put %s, removed %s; want %s and %s", resourceNames(r.Put), resourceNames(keys), put, gone)
		}
		if accept {
			loader.Accept(r)
		}
	}
	want("contract a, contract b, contract c", "", false)
	want("contract a, contract b, contract c", "", true)
	want("", "", true)
	// Contract b moves to another file, and c.yaml is renamed: nothing differs.
	writeFile(t, filepath.Join(dir, "a.yaml"), contractText("a"))
	writeFile(t, filepath.Join(dir, "b.yaml"), contractText("b"))
	if err := os.Rename(filepath.Join(dir, "c.yaml"), filepath.Join(dir, "d.yaml")); err != nil {
		t.Fatal(err)
	}
	want("", "", true)
	// A change that was not accepted is returned again with the next one, and no more once it is undone.
	writeFile(t, filepath.Join(dir, "d.yaml"), strings.Replace(contractText("c"), "5", "6", 1))
	want("contract c", "", false)
	writeFile(t, filepath.Join(dir, "b.yaml"), contractText("x"))
	want("contract x, contract c", "contract b", false)
	writeFile(t, filepath.Join(dir, "d.yaml"), contractText("c"))
	want("contract x", "contract b", true)
	if got := resourceNames(loader.All()); got != "contract a, contract x, contract c" {
		t.Errorf("accepted resources: %s", got)
	}
	// A resource in two files, of which one has changed, and of which both have changed.
	writeFile(t, filepath.Join(dir, "b.yaml"), contractText("a"))
	if _, err := loader.Load(); err == nil || !strings.Contains(err.Error(), `b.yaml:2: contract "a" is in `+filepath.Join(dir, "a.yaml")+":2 already") {
		t.Error(err)
	}
	writeFile(t, filepath.Join(dir, "a.yaml"), contractText("y"))
	writeFile(t, filepath.Join(dir, "b.yaml"), contractText("a", "y"))
	if _, err := loader.Load(); err == nil || !strings.Contains(err.Error(), `b.yaml:5: contract "y" is in `+filepath.Join(dir, "a.yaml")+":2 already") {
		t.Error(err)
	}
	writeFile(t, filepath.Join(dir, "b.yaml"), contractText("a"))
	want("contract y", "contract x", true)
}

// For random edits, moves and removals of files, accepted or not: the difference leads from what was accepted to
// exactly the files' content, and a resource in two files is always an error.
func TestAcceptedDiffsLeadToFileContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "source")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		loader := NewLoader(dir)
		files, accepted := map[string]map[string]int{}, map[string]int{} // rates of contracts: by file, and as accepted
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
			r, err := loader.Load()
			if wrong := twice || len(files) == 0; wrong || err != nil {
				if !wrong || err == nil {
					t.Fatalf("unexpected error %v for files %v", err, files)
				}
				continue
			}
			for _, put := range r.Put {
				if accepted[put.Name] == all[put.Name] || !strings.Contains(string(put.Spec), fmt.Sprintf(`"rate":%d`, all[put.Name])) {
					t.Fatalf("put %s %s; accepted %v, files %v", put.Name, put.Spec, accepted, all)
				}
			}
			differs := 0
			for c := range all {
				if accepted[c] != all[c] {
					differs++
				}
			}
			for _, k := range r.Removed {
				if all[k.Name] != 0 || accepted[k.Name] == 0 {
					t.Fatalf("removed %s; accepted %v, files %v", k.Name, accepted, all)
				}
			}
			removed := 0
			for c := range accepted {
				if all[c] == 0 {
					removed++
				}
			}
			if len(r.Put) != differs || len(r.Removed) != removed {
				t.Fatalf("put %s, removed %v; accepted %v, files %v", resourceNames(r.Put), r.Removed, accepted, all)
			}
			if rapid.Bool().Draw(t, "accept") {
				loader.Accept(r)
				accepted = all
				if len(loader.All()) != len(all) {
					t.Fatalf("accepted resources %s, files %v", resourceNames(loader.All()), all)
				}
			}
		}
	})
}

package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"portstall/internal/resource"
	"portstall/internal/resource/catalog"
)

// Limits of a Loader. Exceeding one is an error that names it, and the version before stays in force.
const (
	MaxFiles     = 10_000   // files in a folder
	MaxFileBytes = 64 << 20 // bytes of a file

	// maxErrors is the number of files with errors after which a load stops and reports them.
	maxErrors = 10
	// maxReadAttempts is how often a file that changes while it is read is read again, in one load.
	maxReadAttempts = 5
	// timestampGranularity is how long after a change a file may change again without a new modification time, since file
	// systems update their clocks in steps.
	timestampGranularity = 2 * time.Second
)

// Loader reads the configuration from a file, or from the files of a folder that match *.yaml and do not begin with a
// dot, sorted by name, without subfolders. It remembers what it has read, reads only files that have changed, and
// returns the difference from what was accepted last, at the cost of the changed files and a stat call for each other
// file. It is not safe for concurrent use.
type Loader struct {
	path      string
	files     map[string]*loadedFile  // valid files by path, as they were last read
	accepted  map[string]*loadedFile  // files by path, as they are in force
	owner     map[resource.Key]string // path of the file of each resource in force
	filesRead int                     // reads of files so far

	onRead func(path string) // for tests: called while a file is read
}

// FileDiff is the difference between the files' content and what was accepted last.
type FileDiff struct {
	Put     []resource.Resource // resources that are new or have another spec
	Removed []resource.Key      // resources that were removed

	files        map[string]*loadedFile // by path, all files of the load
	changedPaths []string               // files that are new, changed or removed
}

// loadedFile is a file as it was read. It is not changed once Loader.files has it.
type loadedFile struct {
	stamp                fileStamp
	readAt               time.Time // just before it was read
	hash                 uint64    // of its bytes
	endsWithNewline      bool
	endsWithDocumentMark bool // the last line is "...", YAML's end of a document
	resources            []resource.Resource
	lines                map[resource.Key]int // line where each resource begins
}

// fileStamp distinguishes the states of a file without reading it.
type fileStamp struct {
	size                int64
	modTime, changeTime int64 // Unix time in ns: of the latest change of the content, and of anything about the file
	device, inode       uint64
}

// stampOf returns the stamp of a file.
func stampOf(i os.FileInfo) fileStamp {
	s := fileStamp{size: i.Size(), modTime: i.ModTime().UnixNano()}
	if st, ok := i.Sys().(*syscall.Stat_t); ok {
		s.changeTime, s.device, s.inode = st.Ctim.Nano(), uint64(st.Dev), st.Ino
	}
	return s
}

// NewLoader returns a Loader for a file or a folder.
func NewLoader(path string) *Loader {
	return &Loader{path: path, files: map[string]*loadedFile{}, accepted: map[string]*loadedFile{},
		owner: map[resource.Key]string{}}
}

// FilesRead returns how often a file has been read so far, valid or not.
func (l *Loader) FilesRead() int { return l.filesRead }

// Load returns the difference from what was accepted last. Each resource is checked by itself; the catalog checks how
// resources fit each other. An error names file and line. The next Load after an error does not read valid files again.
func (l *Loader) Load() (*FileDiff, error) {
	paths, err := l.listFiles()
	if err != nil {
		return nil, err
	}
	diff := &FileDiff{files: make(map[string]*loadedFile, len(paths))}
	var errs []error
	for _, p := range paths {
		f, err := l.currentFile(p)
		if err != nil {
			if errs = append(errs, err); len(errs) == maxErrors {
				break // enough to correct at once
			}
			continue
		}
		l.files[p], diff.files[p] = f, f
		if f != l.accepted[p] {
			diff.changedPaths = append(diff.changedPaths, p)
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	for p := range l.accepted {
		if diff.files[p] == nil {
			diff.changedPaths = append(diff.changedPaths, p)
		}
	}
	slices.Sort(diff.changedPaths)
	maps.DeleteFunc(l.files, func(p string, _ *loadedFile) bool { return diff.files[p] == nil })
	return diff, l.diffResources(diff)
}

// diffResources sets the diff's Put and Removed from the changed files, and checks that no resource is in two files.
func (l *Loader) diffResources(diff *FileDiff) error {
	before := map[resource.Key]json.RawMessage{} // specs in force, of the changed files
	for _, p := range diff.changedPaths {
		if f := l.accepted[p]; f != nil {
			for i := range f.resources {
				before[f.resources[i].Key] = f.resources[i].Spec
			}
		}
	}
	now := map[resource.Key]string{} // path of the file of each resource that is now in the changed files
	for _, p := range diff.changedPaths {
		f := diff.files[p]
		if f == nil {
			continue
		}
		for i := range f.resources {
			k := f.resources[i].Key
			other, twice := now[k]
			if _, ours := before[k]; !twice && !ours {
				other, twice = l.owner[k]
			}
			if twice {
				return fmt.Errorf("%s:%d: %s is in %s:%d already", p, f.lines[k], k, other, diff.files[other].lines[k])
			}
			now[k] = p
			if spec, was := before[k]; !was || !bytes.Equal(spec, f.resources[i].Spec) {
				diff.Put = append(diff.Put, f.resources[i])
			}
		}
	}
	for k := range before {
		if now[k] == "" {
			diff.Removed = append(diff.Removed, k)
		}
	}
	if n := len(l.owner) - len(before) + len(now); n > resource.MaxResources {
		return fmt.Errorf("%s: %d resources: at most %d", l.path, n, resource.MaxResources)
	}
	return nil
}

// Accept records that the latest Load's result is in force.
func (l *Loader) Accept(diff *FileDiff) {
	for _, p := range diff.changedPaths {
		if f := l.accepted[p]; f != nil {
			for i := range f.resources {
				delete(l.owner, f.resources[i].Key)
			}
		}
	}
	for _, p := range diff.changedPaths {
		f := diff.files[p]
		if f == nil {
			delete(l.accepted, p)
			continue
		}
		l.accepted[p] = f
		for i := range f.resources {
			l.owner[f.resources[i].Key] = p
		}
	}
}

// All returns the accepted resources, in the order of the files and within each.
func (l *Loader) All() []resource.Resource {
	all := make([]resource.Resource, 0, len(l.owner))
	for _, p := range slices.Sorted(maps.Keys(l.accepted)) {
		all = append(all, l.accepted[p].resources...)
	}
	return all
}

// Location returns the file and line where a resource begins, as in a.yaml:7, or "" where it is in no file.
func (l *Loader) Location(k resource.Key) string {
	for p, f := range l.files {
		if line, ok := f.lines[k]; ok {
			return fmt.Sprintf("%s:%d", p, line)
		}
	}
	return ""
}

// withLocation prefixes a *resource.Refusal with file and line of its resource, or with the loader's path where it is
// in no file.
func (l *Loader) withLocation(err error) error {
	var r *resource.Refusal
	if errors.As(err, &r) {
		if at := l.Location(r.Key); at != "" {
			return fmt.Errorf("%s: %w", at, err)
		}
		return fmt.Errorf("%s: %w", l.path, err)
	}
	return err
}

// listFiles returns the paths of the configuration's files, sorted.
func (l *Loader) listFiles() ([]string, error) {
	info, err := os.Stat(l.path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{l.path}, nil
	}
	entries, err := os.ReadDir(l.path) // sorted by name
	if err != nil {
		return nil, err
	}
	var paths []string
	for _, e := range entries {
		if name := e.Name(); strings.HasSuffix(name, ".yaml") && !strings.HasPrefix(name, ".") {
			paths = append(paths, filepath.Join(l.path, name))
		}
	}
	switch {
	case len(paths) == 0:
		// A folder that is not filled yet must not remove all resources.
		return nil, fmt.Errorf("%s: no *.yaml files found", l.path)
	case len(paths) > MaxFiles:
		return nil, fmt.Errorf("%s: %d files: at most %d", l.path, len(paths), MaxFiles)
	}
	return paths, nil
}

// currentFile returns a file's present state: the remembered one where it has not changed.
func (l *Loader) currentFile(path string) (*loadedFile, error) {
	old := l.files[path]
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if old != nil && old.stamp == stampOf(info) && old.readAt.Sub(info.ModTime()) > timestampGranularity {
		return old, nil
	}
	f, text, err := l.readStable(path)
	if err != nil {
		return nil, err
	}
	if old != nil && old.hash == f.hash && old.stamp.size == f.stamp.size {
		f.endsWithNewline, f.endsWithDocumentMark, f.resources, f.lines = old.endsWithNewline,
			old.endsWithDocumentMark, old.resources, old.lines
		return f, nil
	}
	f.endsWithNewline = bytes.HasSuffix(text, []byte("\n"))
	f.endsWithDocumentMark = bytes.HasSuffix(bytes.TrimRight(text, "\r\n"), []byte("\n..."))
	if f.resources, f.lines, err = catalog.ParseFile(path, text); err != nil {
		return nil, err
	}
	// The beginning of a YAML file is often valid YAML: a file that is partly written or truncated must not remove
	// resources.
	switch {
	case old == nil:
	case len(old.resources) > 0 && len(f.resources) == 0:
		return nil, fmt.Errorf("%s: the file has no resources any more; to remove its resources remove the file", path)
	case old.endsWithNewline && !f.endsWithNewline:
		return nil, fmt.Errorf("%s: the last line has no newline: the file is truncated", path)
	case old.endsWithDocumentMark && !f.endsWithDocumentMark:
		return nil, fmt.Errorf("%s: the last line is not \"...\", as it was before: the file is truncated", path)
	}
	return f, nil
}

// readStable reads a file's content, and again where it changed meanwhile, maxReadAttempts times at most.
func (l *Loader) readStable(path string) (*loadedFile, []byte, error) {
	for range maxReadAttempts {
		f, text, err := l.readOnce(path)
		if f != nil || err != nil {
			return f, text, err
		}
	}
	return nil, nil, fmt.Errorf("%s: it is being written: it changed during each of %d attempts to read it", path, maxReadAttempts)
}

// readOnce reads a file's content. It returns a nil file where the file changed meanwhile.
func (l *Loader) readOnce(path string) (*loadedFile, []byte, error) {
	l.filesRead++
	fd, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer fd.Close()
	f := &loadedFile{readAt: time.Now()}
	before, err := fd.Stat()
	if err != nil {
		return nil, nil, err
	}
	if !before.Mode().IsRegular() {
		return nil, nil, fmt.Errorf("%s: not a regular file", path)
	}
	if before.Size() > MaxFileBytes {
		return nil, nil, fmt.Errorf("%s: %d bytes: at most %d", path, before.Size(), MaxFileBytes)
	}
	text := make([]byte, 0, before.Size()+1)
	text, err = readAll(text, io.LimitReader(fd, MaxFileBytes+1))
	if err != nil {
		return nil, nil, err
	}
	if l.onRead != nil {
		l.onRead(path)
	}
	after, err := os.Stat(path) // by path: another file may have been renamed to it
	if err != nil {
		return nil, nil, err
	}
	f.stamp = stampOf(before)
	if stampOf(after) != f.stamp || int64(len(text)) != f.stamp.size {
		return nil, nil, nil
	}
	f.hash = xxhash.Sum64(text)
	return f, text, nil
}

// readAll appends the content of r to text. Unlike io.ReadAll it uses text's capacity.
func readAll(text []byte, r io.Reader) ([]byte, error) {
	for {
		n, err := r.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if err == io.EOF {
			return text, nil
		}
		if err != nil {
			return nil, err
		}
		if len(text) == cap(text) {
			text = slices.Grow(text, 512)
		}
	}
}

// CheckFiles reads a file or a folder as a writer does and makes all of a writer's checks. It returns the number of
// resources. An error names file, line, resource and field.
func CheckFiles(path string) (int, error) {
	l := NewLoader(path)
	diff, err := l.Load()
	if err != nil {
		return 0, err
	}
	all := diff.Put
	if _, err := newCatalog().Prepare(&resource.Delta{Put: all}); err != nil {
		return 0, l.withLocation(err)
	}
	if err := resource.NewSet(true).Check(resource.NewSet(true).NewDelta(resource.Version{Epoch: 1}, all, nil)); err != nil {
		return 0, l.withLocation(err)
	}
	return len(all), nil
}

// newCatalog returns a catalog without the settings of any node: a node may still refuse what it accepts.
func newCatalog() *catalog.Catalog { return catalog.New(catalog.Options{Cells: true}) }

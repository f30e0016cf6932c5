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

// Bounds of a source. What passes one is an error that names it, and the version before stays in force.
const (
	MaxFiles     = 10_000
	MaxFileBytes = 64 << 20 // bytes

	maxErrors       = 10 // of files that are told at once
	maxReadAttempts = 5  // of a file that changes while it is read
	// racy is how long after its last change a file may change again without another time: the clocks of file systems tick.
	timestampGranularity = 2 * time.Second
)

// Source is the configuration in a file, or in a folder's files *.yaml: those whose names do not begin with a dot, sorted, none of
// folders in it. It remembers what it read, reads again only the files that have changed, and tells what differs from what was accepted, for
// the cost of the changed files and a look at each of the others. It is not safe for concurrent use.
type Loader struct {
	path      string
	files     map[string]*loadedFile  // as they were last read, good ones only
	accepted  map[string]*loadedFile  // as they are in force
	owner     map[resource.Key]string // file of each resource in force
	filesRead int                     // files read so far

	onRead func(path string) // in tests: while a file is read
}

// Reading is what the files say now, beside what was accepted last.
type FileDiff struct {
	Put  []resource.Resource // new, or with another spec
	Gone []resource.Key

	files        map[string]*loadedFile
	changedPaths []string // files that are new, other ones or gone
}

// file is one that was read.
type loadedFile struct {
	stamp                fileStamp
	readAt               time.Time // before it was read
	hash                 uint64
	endsWithNewline      bool // its text ends with the end of a line
	endsWithDocumentMark bool // and with YAML's mark for the end of a document
	resources            []resource.Resource
	lines                map[resource.Key]int
}

// stamp tells one state of a file from another without its content.
type fileStamp struct {
	size                int64
	modTime, changeTime int64 // Unix time in ns: of the content, and of anything
	device, inode       uint64
}

func stampOf(i os.FileInfo) fileStamp {
	s := fileStamp{size: i.Size(), modTime: i.ModTime().UnixNano()}
	if st, ok := i.Sys().(*syscall.Stat_t); ok {
		s.changeTime, s.device, s.inode = st.Ctim.Nano(), uint64(st.Dev), st.Ino
	}
	return s
}

// NewSource is for a file or a folder.
func NewSource(path string) *Loader {
	return &Loader{path: path, files: map[string]*loadedFile{}, accepted: map[string]*loadedFile{}, owner: map[resource.Key]string{}}
}

// Reads is how many files were read so far, whether or not they were good.
func (s *Loader) Reads() int { return s.filesRead }

// Read tells what differs from what was accepted. Each resource is checked by itself; what they are to each other is the catalog's
// business. An error names file and line. After one the next Read begins where this one stopped: what was good is not read again.
func (s *Loader) Read() (*FileDiff, error) {
	paths, err := s.listFiles()
	if err != nil {
		return nil, err
	}
	r := &FileDiff{files: make(map[string]*loadedFile, len(paths))}
	var errs []error
	for _, p := range paths {
		f, err := s.currentFile(p)
		if err != nil {
			if errs = append(errs, err); len(errs) == maxErrors {
				break // enough to mend
			}
			continue
		}
		s.files[p], r.files[p] = f, f
		if f != s.accepted[p] {
			r.changedPaths = append(r.changedPaths, p)
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	for p := range s.accepted {
		if r.files[p] == nil {
			r.changedPaths = append(r.changedPaths, p)
		}
	}
	slices.Sort(r.changedPaths)
	maps.DeleteFunc(s.files, func(p string, _ *loadedFile) bool { return r.files[p] == nil })
	return r, s.diffResources(r)
}

// compare says what the changed files make of the resources.
func (s *Loader) diffResources(r *FileDiff) error {
	before := map[resource.Key]json.RawMessage{} // of the changed files
	for _, p := range r.changedPaths {
		if f := s.accepted[p]; f != nil {
			for i := range f.resources {
				before[f.resources[i].Key] = f.resources[i].Spec
			}
		}
	}
	now := map[resource.Key]string{} // the same, and the file of each
	for _, p := range r.changedPaths {
		f := r.files[p]
		if f == nil {
			continue
		}
		for i := range f.resources {
			k := f.resources[i].Key
			other, twice := now[k]
			if _, ours := before[k]; !twice && !ours {
				other, twice = s.owner[k]
			}
			if twice {
				return fmt.Errorf("%s:%d: %s is in %s:%d already", p, f.lines[k], k, other, r.files[other].lines[k])
			}
			now[k] = p
			if spec, was := before[k]; !was || !bytes.Equal(spec, f.resources[i].Spec) {
				r.Put = append(r.Put, f.resources[i])
			}
		}
	}
	for k := range before {
		if now[k] == "" {
			r.Gone = append(r.Gone, k)
		}
	}
	if n := len(s.owner) - len(before) + len(now); n > resource.MaxResources {
		return fmt.Errorf("%s: %d resources: at most %d", s.path, n, resource.MaxResources)
	}
	return nil
}

// Accept notes that what the latest Read told is in force.
func (s *Loader) Accept(r *FileDiff) {
	for _, p := range r.changedPaths {
		if f := s.accepted[p]; f != nil {
			for i := range f.resources {
				delete(s.owner, f.resources[i].Key)
			}
		}
	}
	for _, p := range r.changedPaths {
		f := r.files[p]
		if f == nil {
			delete(s.accepted, p)
			continue
		}
		s.accepted[p] = f
		for i := range f.resources {
			s.owner[f.resources[i].Key] = p
		}
	}
}

// All is what was accepted, in order of the files and of what stands in them.
func (s *Loader) All() []resource.Resource {
	all := make([]resource.Resource, 0, len(s.owner))
	for _, p := range slices.Sorted(maps.Keys(s.accepted)) {
		all = append(all, s.accepted[p].resources...)
	}
	return all
}

// Where is the file and line where a resource begins, as in a.yaml:7; empty where there is none.
func (s *Loader) Location(k resource.Key) string {
	for p, f := range s.files {
		if line, ok := f.lines[k]; ok {
			return fmt.Sprintf("%s:%d", p, line)
		}
	}
	return ""
}

// place puts file and line before a refusal, where its resource stands in a file.
func (s *Loader) withLocation(err error) error {
	var r *resource.Refusal
	if errors.As(err, &r) {
		if at := s.Location(r.Key); at != "" {
			return fmt.Errorf("%s: %w", at, err)
		}
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return err
}

// list is the files that count now, sorted.
func (s *Loader) listFiles() ([]string, error) {
	info, err := os.Stat(s.path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{s.path}, nil
	}
	entries, err := os.ReadDir(s.path) // sorted by name
	if err != nil {
		return nil, err
	}
	var paths []string
	for _, e := range entries {
		if name := e.Name(); strings.HasSuffix(name, ".yaml") && !strings.HasPrefix(name, ".") {
			paths = append(paths, filepath.Join(s.path, name))
		}
	}
	switch {
	case len(paths) == 0:
		return nil, fmt.Errorf("%s: no file *.yaml is in it", s.path) // a folder that is not there yet must not take all away
	case len(paths) > MaxFiles:
		return nil, fmt.Errorf("%s: %d files: at most %d", s.path, len(paths), MaxFiles)
	}
	return paths, nil
}

// read returns a file as it is now: as it was remembered where it has not changed.
func (s *Loader) currentFile(path string) (*loadedFile, error) {
	old := s.files[path]
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if old != nil && old.stamp == stampOf(info) && old.readAt.Sub(info.ModTime()) > timestampGranularity {
		return old, nil
	}
	f, text, err := s.readStable(path)
	if err != nil {
		return nil, err
	}
	if old != nil && old.hash == f.hash && old.stamp.size == f.stamp.size {
		f.endsWithNewline, f.endsWithDocumentMark, f.resources, f.lines = old.endsWithNewline, old.endsWithDocumentMark, old.resources, old.lines
		return f, nil
	}
	f.endsWithNewline = bytes.HasSuffix(text, []byte("\n"))
	f.endsWithDocumentMark = bytes.HasSuffix(bytes.TrimRight(text, "\r\n"), []byte("\n..."))
	if f.resources, f.lines, err = catalog.Parts(path, text); err != nil {
		return nil, err
	}
	// A part of a YAML file is often a file as well: one that is being written, or was cut off, must not take resources away.
	switch {
	case old == nil:
	case len(old.resources) > 0 && len(f.resources) == 0:
		return nil, fmt.Errorf("%s: nothing is in it; to take away what was in it remove the file", path)
	case old.endsWithNewline && !f.endsWithNewline:
		return nil, fmt.Errorf("%s: its last line has no end: it is not whole", path)
	case old.endsWithDocumentMark && !f.endsWithDocumentMark:
		return nil, fmt.Errorf("%s: it does not end with the line \"...\", as it did: it is not whole", path)
	}
	return f, nil
}

// load reads a file's text, and again where it changed meanwhile.
func (s *Loader) readStable(path string) (*loadedFile, []byte, error) {
	for range maxReadAttempts {
		f, text, err := s.readOnce(path)
		if f != nil || err != nil {
			return f, text, err
		}
	}
	return nil, nil, fmt.Errorf("%s: it is being written: it changed each of %d times it was read", path, maxReadAttempts)
}

// once reads a file's text; no file where it changed meanwhile.
func (s *Loader) readOnce(path string) (*loadedFile, []byte, error) {
	s.filesRead++
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
		return nil, nil, fmt.Errorf("%s: is no file", path)
	}
	if before.Size() > MaxFileBytes {
		return nil, nil, fmt.Errorf("%s: %d bytes: at most %d", path, before.Size(), MaxFileBytes)
	}
	text := make([]byte, 0, before.Size()+1)
	text, err = readAll(text, io.LimitReader(fd, MaxFileBytes+1))
	if err != nil {
		return nil, nil, err
	}
	if s.onRead != nil {
		s.onRead(path)
	}
	after, err := os.Stat(path) // by its name: another may have taken its place
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

// readAll appends what r has.
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

// CheckFiles reads a file or a folder as a writer does, and checks it whole. It returns how many resources there are. An error names
// file, line, resource and field.
func CheckFiles(path string) (int, error) {
	s := NewSource(path)
	r, err := s.Read()
	if err != nil {
		return 0, err
	}
	all := r.Put
	if _, err := newCatalog().Prepare(&resource.Delta{Put: all}); err != nil {
		return 0, s.withLocation(err)
	}
	if err := resource.NewSet(true).Check(resource.NewSet(true).Next(resource.Version{Epoch: 1}, all, nil)); err != nil {
		return 0, s.withLocation(err)
	}
	return len(all), nil
}

// newCatalog is one that knows no node's settings: what it lets through a node may still refuse.
func newCatalog() *catalog.Catalog { return catalog.New(catalog.Options{Cells: true}) }

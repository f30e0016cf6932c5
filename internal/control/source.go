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
	MaxFiles = 10_000
	MaxFile  = 64 << 20 // bytes

	mostErrors = 10 // of files that are told at once
	rereads    = 5  // of a file that changes while it is read
	// racy is how long after its last change a file may change again without another time: the clocks of file systems tick.
	racy = 2 * time.Second
)

// Source is the configuration in a file, or in a folder's files *.yaml: those whose names do not begin with a dot, sorted, none of
// folders in it. It remembers what it read, reads again only the files that have changed, and tells what differs from what was accepted, for
// the cost of the changed files and a look at each of the others. It is not safe for concurrent use.
type Source struct {
	path     string
	files    map[string]*file        // as they were last read, good ones only
	accepted map[string]*file        // as they are in force
	owner    map[resource.Key]string // file of each resource in force
	reads    int                     // files read so far

	onRead func(path string) // in tests: while a file is read
}

// Reading is what the files say now, beside what was accepted last.
type Reading struct {
	Put  []resource.Resource // new, or with another spec
	Gone []resource.Key

	files   map[string]*file
	changed []string // files that are new, other ones or gone
}

// file is one that was read.
type file struct {
	stamp stamp
	at    time.Time // before it was read
	hash  uint64
	lined bool // its text ends with the end of a line
	ended bool // and with YAML's mark for the end of a document
	all   []resource.Resource
	lines map[resource.Key]int
}

// stamp tells one state of a file from another without its content.
type stamp struct {
	size       int64
	mod, meta  int64 // Unix time in ns: of the content, and of anything
	dev, inode uint64
}

func stampOf(i os.FileInfo) stamp {
	s := stamp{size: i.Size(), mod: i.ModTime().UnixNano()}
	if st, ok := i.Sys().(*syscall.Stat_t); ok {
		s.meta, s.dev, s.inode = st.Ctim.Nano(), uint64(st.Dev), st.Ino
	}
	return s
}

// NewSource is for a file or a folder.
func NewSource(path string) *Source {
	return &Source{path: path, files: map[string]*file{}, accepted: map[string]*file{}, owner: map[resource.Key]string{}}
}

// Reads is how many files were read so far, whether or not they were good.
func (s *Source) Reads() int { return s.reads }

// Read tells what differs from what was accepted. Each resource is checked by itself; what they are to each other is the catalog's
// business. An error names file and line. After one the next Read begins where this one stopped: what was good is not read again.
func (s *Source) Read() (*Reading, error) {
	paths, err := s.list()
	if err != nil {
		return nil, err
	}
	r := &Reading{files: make(map[string]*file, len(paths))}
	var errs []error
	for _, p := range paths {
		f, err := s.read(p)
		if err != nil {
			if errs = append(errs, err); len(errs) == mostErrors {
				break // enough to mend
			}
			continue
		}
		s.files[p], r.files[p] = f, f
		if f != s.accepted[p] {
			r.changed = append(r.changed, p)
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	for p := range s.accepted {
		if r.files[p] == nil {
			r.changed = append(r.changed, p)
		}
	}
	slices.Sort(r.changed)
	maps.DeleteFunc(s.files, func(p string, _ *file) bool { return r.files[p] == nil })
	return r, s.compare(r)
}

// compare says what the changed files make of the resources.
func (s *Source) compare(r *Reading) error {
	before := map[resource.Key]json.RawMessage{} // of the changed files
	for _, p := range r.changed {
		if f := s.accepted[p]; f != nil {
			for i := range f.all {
				before[f.all[i].Key] = f.all[i].Spec
			}
		}
	}
	now := map[resource.Key]string{} // the same, and the file of each
	for _, p := range r.changed {
		f := r.files[p]
		if f == nil {
			continue
		}
		for i := range f.all {
			k := f.all[i].Key
			other, twice := now[k]
			if _, ours := before[k]; !twice && !ours {
				other, twice = s.owner[k]
			}
			if twice {
				return fmt.Errorf("%s:%d: %s is in %s:%d already", p, f.lines[k], k, other, r.files[other].lines[k])
			}
			now[k] = p
			if spec, was := before[k]; !was || !bytes.Equal(spec, f.all[i].Spec) {
				r.Put = append(r.Put, f.all[i])
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
func (s *Source) Accept(r *Reading) {
	for _, p := range r.changed {
		if f := s.accepted[p]; f != nil {
			for i := range f.all {
				delete(s.owner, f.all[i].Key)
			}
		}
	}
	for _, p := range r.changed {
		f := r.files[p]
		if f == nil {
			delete(s.accepted, p)
			continue
		}
		s.accepted[p] = f
		for i := range f.all {
			s.owner[f.all[i].Key] = p
		}
	}
}

// All is what was accepted, in order of the files and of what stands in them.
func (s *Source) All() []resource.Resource {
	all := make([]resource.Resource, 0, len(s.owner))
	for _, p := range slices.Sorted(maps.Keys(s.accepted)) {
		all = append(all, s.accepted[p].all...)
	}
	return all
}

// Where is the file and line where a resource begins, as in a.yaml:7; empty where there is none.
func (s *Source) Where(k resource.Key) string {
	for p, f := range s.files {
		if line, ok := f.lines[k]; ok {
			return fmt.Sprintf("%s:%d", p, line)
		}
	}
	return ""
}

// place puts file and line before a refusal, where its resource stands in a file.
func (s *Source) place(err error) error {
	var r *resource.Refusal
	if errors.As(err, &r) {
		if at := s.Where(r.Key); at != "" {
			return fmt.Errorf("%s: %w", at, err)
		}
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return err
}

// list is the files that count now, sorted.
func (s *Source) list() ([]string, error) {
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
func (s *Source) read(path string) (*file, error) {
	old := s.files[path]
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if old != nil && old.stamp == stampOf(info) && old.at.Sub(info.ModTime()) > racy {
		return old, nil
	}
	f, text, err := s.load(path)
	if err != nil {
		return nil, err
	}
	if old != nil && old.hash == f.hash && old.stamp.size == f.stamp.size {
		f.lined, f.ended, f.all, f.lines = old.lined, old.ended, old.all, old.lines
		return f, nil
	}
	f.lined = bytes.HasSuffix(text, []byte("\n"))
	f.ended = bytes.HasSuffix(bytes.TrimRight(text, "\r\n"), []byte("\n..."))
	if f.all, f.lines, err = catalog.Parts(path, text); err != nil {
		return nil, err
	}
	// A part of a YAML file is often a file as well: one that is being written, or was cut off, must not take resources away.
	switch {
	case old == nil:
	case len(old.all) > 0 && len(f.all) == 0:
		return nil, fmt.Errorf("%s: nothing is in it; to take away what was in it remove the file", path)
	case old.lined && !f.lined:
		return nil, fmt.Errorf("%s: its last line has no end: it is not whole", path)
	case old.ended && !f.ended:
		return nil, fmt.Errorf("%s: it does not end with the line \"...\", as it did: it is not whole", path)
	}
	return f, nil
}

// load reads a file's text, and again where it changed meanwhile.
func (s *Source) load(path string) (*file, []byte, error) {
	for range rereads {
		f, text, err := s.once(path)
		if f != nil || err != nil {
			return f, text, err
		}
	}
	return nil, nil, fmt.Errorf("%s: it is being written: it changed each of %d times it was read", path, rereads)
}

// once reads a file's text; no file where it changed meanwhile.
func (s *Source) once(path string) (*file, []byte, error) {
	s.reads++
	fd, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer fd.Close()
	f := &file{at: time.Now()}
	before, err := fd.Stat()
	if err != nil {
		return nil, nil, err
	}
	if !before.Mode().IsRegular() {
		return nil, nil, fmt.Errorf("%s: is no file", path)
	}
	if before.Size() > MaxFile {
		return nil, nil, fmt.Errorf("%s: %d bytes: at most %d", path, before.Size(), MaxFile)
	}
	text := make([]byte, 0, before.Size()+1)
	text, err = readAll(text, io.LimitReader(fd, MaxFile+1))
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
		return 0, s.place(err)
	}
	if err := resource.NewSet(true).Check(resource.NewSet(true).Next(resource.Version{Epoch: 1}, all, nil)); err != nil {
		return 0, s.place(err)
	}
	return len(all), nil
}

// newCatalog is one that knows no node's settings: what it lets through a node may still refuse.
func newCatalog() *catalog.Catalog { return catalog.New(catalog.Options{Cells: true}) }

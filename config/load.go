package config

import (
	"io/fs"
	"path/filepath"
	"sort"
	"strings"

	"github.com/dotterelseam/dotterelseam/internal/strictyaml"
)

// Names of operators' files.
const (
	ServiceFile = "dotterel.yaml"
	FleetFile   = "fleet.yaml"
)

// Problem is one fault in operators' files, with file, line and field.
type Problem = strictyaml.Problem

// Problems holds every fault found. Problems.Err returns them as an error.
type Problems = strictyaml.Problems

// position is a file and a line number in it.
type position struct {
	file string
	line int
}

// loader collects the parts of a document and the problems of the files.
type loader struct {
	problems Problems
	fleet    *Fleet
	services []Service
}

// Load reads all service files and the one fleet file in the directories and their
// sub-directories. It returns all problems and conflicts of the files, sorted by file
// and line; the document is nil if there are any. The document does not depend on the
// order of the directories.
func Load(dirs ...string) (*Document, Problems) {
	l := &loader{}
	files := l.findFiles(dirs)
	l.loadFleet(files[FleetFile])
	l.loadServices(files[ServiceFile])
	if len(l.problems) > 0 {
		l.problems.Sort()
		return nil, l.problems
	}
	d := l.document()
	// Validate may have rules that the checks above lack.
	if err := d.Validate(); err != nil {
		return nil, Problems{{File: files[FleetFile][0], Message: err.Error()}}
	}
	return d, nil
}

func (l *loader) document() *Document {
	d := &Document{Fleet: *l.fleet, Services: l.services}
	f := &d.Fleet
	sort.Slice(f.DataCentres, func(i, j int) bool { return f.DataCentres[i].Name < f.DataCentres[j].Name })
	sort.Slice(f.Workspaces, func(i, j int) bool { return f.Workspaces[i].Name < f.Workspaces[j].Name })
	sort.Slice(d.Services, func(i, j int) bool { return d.Services[i].Name < d.Services[j].Name })
	for _, s := range d.Services {
		sort.Slice(s.Routes, func(i, j int) bool { return s.Routes[i].Pattern < s.Routes[j].Pattern })
	}
	return d
}

// findFiles returns the paths of operators' files by their base name, each file once
// even if directories overlap, in the order of their paths. Directories whose
// name starts with a dot are left out.
func (l *loader) findFiles(dirs []string) map[string][]string {
	found, seen := map[string][]string{}, map[string]bool{}
	for _, dir := range dirs {
		root := dir + string(filepath.Separator) // the separator makes WalkDir follow a symbolic link
		err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
			switch {
			case err != nil:
				l.reportPath(path, err)
				return nil
			case e.IsDir() && path != root && strings.HasPrefix(e.Name(), "."):
				return filepath.SkipDir
			case e.IsDir():
				return nil
			}
			l.checkFileName(path)
			if name := e.Name(); (name == ServiceFile || name == FleetFile) && !seen[canonicalPath(path)] {
				seen[canonicalPath(path)] = true
				found[name] = append(found[name], path)
			}
			return nil
		})
		if err != nil {
			l.reportPath(dir, err)
		}
	}
	for _, paths := range found {
		sort.Strings(paths)
	}
	return found
}

// checkFileName reports files whose name is a likely misspelling of an operators' file.
func (l *loader) checkFileName(path string) {
	name := filepath.Base(path)
	for _, want := range []string{ServiceFile, FleetFile} {
		stem := strings.TrimSuffix(want, ".yaml")
		if name != want && (strings.EqualFold(name, want) || strings.EqualFold(name, stem+".yml")) {
			l.problems = append(l.problems, Problem{File: path, Message: "is ignored; rename it to " + want})
		}
	}
}

func (l *loader) reportPath(path string, err error) {
	if pathErr, ok := err.(*fs.PathError); ok {
		err = pathErr.Err // Problem.File is the path
	}
	l.problems = append(l.problems, Problem{File: path, Message: "cannot be read: " + err.Error()})
}

// canonicalPath returns the absolute path without symbolic links, as far as it can be
// resolved, so that all paths of one file are equal.
func canonicalPath(path string) string {
	if real, err := filepath.EvalSymlinks(path); err == nil {
		path = real
	}
	if abs, err := filepath.Abs(path); err == nil {
		path = abs
	}
	return path
}

// loadFleet keeps the first fleet file. It reads the others too, to report their
// problems.
func (l *loader) loadFleet(paths []string) {
	if len(paths) == 0 {
		l.problems = append(l.problems, Problem{File: FleetFile, Message: "no " + FleetFile + " in the directories; exactly one is needed"})
		return
	}
	for i, path := range paths {
		doc := strictyaml.ReadFile(path)
		fleet := readFleet(doc.Root())
		if i == 0 {
			l.fleet = &fleet
		} else {
			doc.Report(0, "", "a second fleet file; the first is %s", paths[0])
		}
		l.problems = append(l.problems, doc.Problems...)
	}
}

func (l *loader) loadServices(paths []string) {
	first := map[string]position{}
	for _, path := range paths {
		doc := strictyaml.ReadFile(path)
		service, name := readService(doc.Root())
		if p, twice := first[service.Name]; twice {
			name.Report("service %q is stated in %s:%d already", service.Name, p.file, p.line)
		} else if service.Name != "" {
			first[service.Name] = position{path, name.Line()}
			l.services = append(l.services, service)
		}
		l.problems = append(l.problems, doc.Problems...)
	}
}

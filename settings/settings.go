// Package settings reads and validates the YAML settings of a node.
package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelseam/dotterelseam/internal/strictyaml"
)

// ErrInvalid is the class of errors of invalid settings. Problems is in the
// error's chain.
var ErrInvalid = errs.Class("settings invalid")

// Problem is one error in a settings file, with file, line and field.
type Problem = strictyaml.Problem

// Problems holds all errors found in a settings file.
type Problems = strictyaml.Problems

// Limits and defaults of settings.
const (
	MinSecretLength  = 16 // bytes of cluster_secret
	DefaultStopLimit = 30 * time.Second
	MaxStopLimit     = 10 * time.Minute
	maxSecretBytes   = 4096 // maximum size of the file that holds the secret
)

// LogLevel is the lowest severity of the log lines that a node writes.
type LogLevel string

// The log levels, from the most to the least verbose.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogError LogLevel = "error"
)

// Secret is a string that fmt, loggers and encoders do not reveal. Convert it to
// string to use it.
type Secret string

// String hides the value from fmt and from loggers.
func (Secret) String() string { return "(secret)" }

// GoString hides the value from %#v.
func (Secret) GoString() string { return "(secret)" }

// MarshalText hides the value from encoders.
func (Secret) MarshalText() ([]byte, error) { return []byte("(secret)"), nil }

// Addresses are the listeners of a node, each as ip:port.
type Addresses struct {
	Callers   string // public; may be the unspecified IP address
	Local     string // for the backend server on this host; loopback only
	Peers     string // for other nodes; a specific IP address, which is also the source address of outgoing connections
	Operators string // may be the unspecified IP address

	// PeersAdvertised is the address that other nodes connect to. It is equal to
	// Peers unless the settings set it, which is needed if there is address
	// translation between the nodes.
	PeersAdvertised string
}

// Settings is the content of a node's settings file.
type Settings struct {
	Name          string // unique among all nodes
	DataCentre    string
	Region        string
	Addresses     Addresses
	Platform      string        // base URL of the platform, without a trailing slash
	Seeds         []string      // peers addresses of nodes to join through; may include the node's own
	ClusterSecret Secret        // at least MinSecretLength bytes
	StopLimit     time.Duration // maximum duration of a planned stop; default DefaultStopLimit, at most MaxStopLimit
	LogLevel      LogLevel
}

// Load reads and validates the settings file at path. A relative cluster_secret_file
// is resolved against the directory of path. The error is of class ErrInvalid and
// holds Problems with all errors in the file.
func Load(path string) (*Settings, error) {
	return fromDocument(strictyaml.ReadFile(path), filepath.Dir(path))
}

// Parse validates settings that were already read. Problems name the file as file. A
// relative cluster_secret_file is resolved against dir. The error is like that of
// Load.
func Parse(file string, data []byte, dir string) (*Settings, error) {
	return fromDocument(strictyaml.Parse(file, data), dir)
}

func fromDocument(doc *strictyaml.Document, dir string) (*Settings, error) {
	var s Settings
	if doc.Root().Exists() {
		s = readSettings(doc.Root(), dir)
	}
	if len(doc.Problems) > 0 {
		doc.Problems.Sort()
		return nil, ErrInvalid.Wrap(doc.Problems)
	}
	return &s, nil
}

func readSettings(root strictyaml.Value, dir string) Settings {
	m, ok := root.Mapping("name", "data_centre", "region", "addresses", "platform", "seeds",
		"cluster_secret", "cluster_secret_file", "stop_limit", "log_level")
	if !ok {
		return Settings{}
	}
	s := Settings{StopLimit: DefaultStopLimit, LogLevel: LogInfo}
	s.Name, _ = m.Require("name").Name()
	s.DataCentre, _ = m.Require("data_centre").Name()
	s.Region, _ = m.Require("region").Name()
	s.Addresses = readAddresses(m.Require("addresses"))
	s.Platform = readURL(m.Require("platform"))
	s.Seeds = readSeeds(m.Get("seeds"))
	s.ClusterSecret = readSecret(m, dir)
	if v := m.Get("stop_limit"); v.Exists() {
		s.StopLimit = readStopLimit(v)
	}
	if v := m.Get("log_level"); v.Exists() {
		s.LogLevel = readLogLevel(v)
	}
	return s
}

func readStopLimit(v strictyaml.Value) time.Duration {
	d, ok := v.Duration()
	if ok && d > MaxStopLimit {
		v.Report("%v is more than %v", d, MaxStopLimit)
	}
	return d
}

func readLogLevel(v strictyaml.Value) LogLevel {
	text, ok := v.Text()
	switch level := LogLevel(text); level {
	case LogDebug, LogInfo, LogError:
		return level
	}
	if ok {
		v.Report("%q is not a log level; the levels are debug, info and error", text)
	}
	return ""
}

// readSecret reads the secret from exactly one of cluster_secret and
// cluster_secret_file.
func readSecret(m strictyaml.Mapping, dir string) Secret {
	direct, file := m.Get("cluster_secret"), m.Get("cluster_secret_file")
	switch {
	case direct.Exists() && file.Exists():
		file.Report("cannot be combined with cluster_secret; set only one of them")
		return ""
	case file.Exists():
		return readSecretFile(file, dir)
	}
	text, ok := m.Require("cluster_secret").Text()
	if ok {
		checkSecret(direct, text)
	}
	return Secret(text)
}

func readSecretFile(v strictyaml.Value, dir string) Secret {
	path, ok := v.Text()
	if !ok {
		return ""
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		v.Report("cannot be read: %v", err)
		return ""
	}
	if len(data) > maxSecretBytes {
		v.Report("the file is larger than %d bytes", maxSecretBytes)
		return ""
	}
	text := strings.TrimSpace(string(data))
	checkSecret(v, text)
	return Secret(text)
}

// checkSecret validates a secret. The problems it reports never contain the secret.
func checkSecret(v strictyaml.Value, text string) {
	if len(text) < MinSecretLength {
		v.Report("the secret is shorter than %d bytes", MinSecretLength)
	}
	if strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) {
		v.Report("the secret must be printable ASCII, because it is sent in a header")
	}
}

func readAddress(v strictyaml.Value) (netip.AddrPort, bool) {
	text, ok := v.Text()
	if !ok {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		v.Report("%q is not an address of the form ip:port", text)
	case a.Port() == 0:
		v.Report("port 0 is not allowed, because others could not find the listener")
	default:
		return a, true
	}
	return netip.AddrPort{}, false
}

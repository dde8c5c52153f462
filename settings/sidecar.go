package settings

import (
	"math"
	"net"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"github.com/dotterelseam/dotterelseam/internal/strictyaml"
)

// MinOpenFiles is the smallest permitted value of Sidecar.OpenFiles.
const MinOpenFiles = 512

// Sidecar is the content of the settings file of a node that runs as a sidecar of
// one backend server.
type Sidecar struct {
	Name       string // unique among all nodes
	DataCentre string
	Region     string
	Service    string // of the backend server on this host
	Addresses  SidecarAddresses
	Platform   string // base URL of the platform's store, without a trailing slash
	// AnnouncementInterval is the approximate interval at which the backend server
	// announces itself.
	AnnouncementInterval time.Duration
	MemoryLimit          int64    // memory that the process may use, in bytes
	OpenFiles            int      // descriptors that the process may have open; default: the soft limit of the process
	Bounds               []string // limits as name=value, in the format of platform.ParseBounds
	StopLimit            time.Duration
	LogLevel             LogLevel
}

// SidecarAddresses are the listeners of a Sidecar, each as ip:port.
type SidecarAddresses struct {
	Callers string // callers and the backend server on this host
	Peers   string // other nodes
	// PeersAdvertised is the address that other nodes connect to if there is a proxy
	// in front of Peers. Without a proxy it is empty, unlike
	// Addresses.PeersAdvertised; Advertised returns the address for both cases.
	PeersAdvertised string
	Announcements   string // announcements of the backend server on this host
	Ready           string // readiness probes
	Operators       string // status and metrics
}

// Advertised returns the address that other nodes connect to.
func (a *SidecarAddresses) Advertised() string {
	if a.PeersAdvertised != "" {
		return a.PeersAdvertised
	}
	return a.Peers
}

// Source returns the source IP address for connections to other nodes, or nil for the
// kernel's choice. Behind a proxy it is that of Peers, so that the proxy can
// distinguish hosts.
func (a *SidecarAddresses) Source() net.IP {
	if a.PeersAdvertised == "" {
		return nil
	}
	return HostIP(a.Peers)
}

// LoadSidecar reads and validates the settings file at path. The error is of class
// ErrInvalid and holds Problems with all errors in the file.
func LoadSidecar(path string) (*Sidecar, error) {
	return sidecarFromDocument(strictyaml.ReadFile(path))
}

// ParseSidecar validates settings that were already read. Problems name the file by
// the base name of file. The error is like that of LoadSidecar.
func ParseSidecar(file string, data []byte) (*Sidecar, error) {
	return sidecarFromDocument(strictyaml.Parse(filepath.Base(file), data))
}

func sidecarFromDocument(doc *strictyaml.Document) (*Sidecar, error) {
	var s Sidecar
	if doc.Root().Exists() {
		s = readSidecar(doc.Root())
	}
	if len(doc.Problems) > 0 {
		doc.Problems.Sort()
		return nil, ErrInvalid.Wrap(doc.Problems)
	}
	return &s, nil
}

func readSidecar(root strictyaml.Value) Sidecar {
	m, ok := root.Mapping("name", "data_centre", "region", "service", "addresses", "platform",
		"announcement_interval", "memory", "open_files", "bounds", "stop_limit", "log_level")
	if !ok {
		return Sidecar{}
	}
	s := Sidecar{StopLimit: DefaultStopLimit, LogLevel: LogInfo}
	s.Name, _ = m.Require("name").Text()
	s.DataCentre, _ = m.Require("data_centre").Text()
	s.Region, _ = m.Require("region").Text()
	s.Service, _ = m.Require("service").Text()
	s.Addresses = readSidecarAddresses(m.Require("addresses"))
	s.Platform = readURL(m.Require("platform"))
	s.AnnouncementInterval, _ = m.Require("announcement_interval").Duration()
	s.MemoryLimit, _ = m.Require("memory").Size()
	s.OpenFiles = readOpenFiles(m.Get("open_files"))
	bounds, _ := m.Get("bounds").List()
	for _, v := range bounds {
		text, _ := v.Text()
		s.Bounds = append(s.Bounds, text)
	}
	if v := m.Get("stop_limit"); v.Exists() {
		s.StopLimit = readStopLimit(v)
	}
	if v := m.Get("log_level"); v.Exists() {
		s.LogLevel = readLogLevel(v)
	}
	return s
}

// readOpenFiles returns the limit of the process if v does not exist or is above it.
func readOpenFiles(v strictyaml.Value) int {
	ofProcess := openFilesOfProcess()
	if !v.Exists() {
		return ofProcess
	}
	n, ok := v.Int()
	if ok && n < MinOpenFiles {
		v.Report("%d is less than %d", n, MinOpenFiles)
	}
	return min(n, ofProcess)
}

// openFilesOfProcess returns the soft limit of open descriptors, or math.MaxInt if there is
// none or it cannot be read.
func openFilesOfProcess() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt {
		return math.MaxInt
	}
	return int(limit.Cur)
}

func readSidecarAddresses(v strictyaml.Value) SidecarAddresses {
	m, ok := v.Mapping("callers", "peers", "peers_advertised", "announcements", "ready", "operators")
	if !ok {
		return SidecarAddresses{}
	}
	seen := map[string]string{}
	read := func(name string) string {
		field := m.Require(name)
		a, ok := readAddress(field)
		if !ok {
			return ""
		}
		text := a.String()
		if other, twice := seen[text]; twice {
			field.Report("%v is already the address of %s", a, other)
		}
		seen[text] = name
		return text
	}
	a := SidecarAddresses{
		Callers: read("callers"), Peers: read("peers"), Announcements: read("announcements"),
		Ready: read("ready"), Operators: read("operators"),
	}
	if m.Get("peers_advertised").Exists() {
		a.PeersAdvertised = read("peers_advertised")
	}
	return a
}

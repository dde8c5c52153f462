package settings

import (
	"net"
	"net/netip"
	"net/url"
	"strings"

	"github.com/dotterelseam/dotterelseam/internal/strictyaml"
)

// readAddresses reads the listeners of a node, which must all be different.
func readAddresses(v strictyaml.Value) Addresses {
	m, ok := v.Mapping("callers", "local", "peers", "peers_advertised", "operators")
	if !ok {
		return Addresses{}
	}
	seen := map[netip.AddrPort]string{}
	read := func(name string) (netip.AddrPort, string) {
		field := m.Require(name)
		a, ok := readAddress(field)
		if !ok {
			return a, ""
		}
		if other, twice := seen[a]; twice {
			field.Report("%v is already the address of %s", a, other)
		}
		seen[a] = name
		return a, a.String()
	}
	var out Addresses
	_, out.Callers = read("callers")
	local, text := read("local")
	out.Local = text
	if local.IsValid() && !local.Addr().Unmap().IsLoopback() {
		m.Get("local").Report("%v is not a loopback address; only the backend server on this host may connect", local)
	}
	peers, text := read("peers")
	out.Peers = text
	if peers.IsValid() && peers.Addr().IsUnspecified() {
		m.Get("peers").Report("%v is the unspecified address; other nodes need an address that they can connect to", peers)
	}
	_, out.Operators = read("operators")
	out.PeersAdvertised = out.Peers
	if v := m.Get("peers_advertised"); v.Exists() {
		advertised, text := read("peers_advertised")
		out.PeersAdvertised = text
		if advertised.IsValid() && advertised.Addr().IsUnspecified() {
			v.Report("%v is the unspecified address; other nodes need an address that they can connect to", advertised)
		}
	}
	return out
}

// readSeeds reads the list of seed addresses, which must all be different.
func readSeeds(v strictyaml.Value) []string {
	values, _ := v.List()
	seen := map[netip.AddrPort]bool{}
	var seeds []string
	for _, item := range values {
		a, ok := readAddress(item)
		if !ok {
			continue
		}
		if seen[a] {
			item.Report("%v is listed more than once", a)
		}
		seen[a] = true
		seeds = append(seeds, a.String())
	}
	return seeds
}

// readURL reads a base URL and removes trailing slashes. It rejects credentials in
// the URL, because the URL is logged.
func readURL(v strictyaml.Value) string {
	text, ok := v.Text()
	if !ok {
		return ""
	}
	u, err := url.Parse(text)
	if err == nil && u.User != nil {
		v.Report("the URL must not contain credentials")
		return ""
	}
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		v.Report("%q is not a base URL of the form http://ip:port", text)
		return ""
	}
	return strings.TrimRight(text, "/")
}

// HostIP returns the IP address of an address of the form ip:port, or nil if the
// address has another form.
func HostIP(address string) net.IP {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil
	}
	return a.Addr().AsSlice()
}

package settings_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dotterelseam/dotterelseam/settings"
)

const valid = `name: dudley-1
data_centre: dudley
region: midlands
addresses:
  callers: 0.0.0.0:8080
  local: 127.0.0.1:8081
  peers: 127.0.0.1:8082
  operators: 127.0.0.1:8083
platform: http://127.0.0.1:9000/
seeds: ["127.0.0.1:8082", "127.0.0.1:8182"]
cluster_secret: 0123456789abcdefg
`

// Guards against fields that are not read, wrong defaults, and a secret that is
// printed.
func TestValid(t *testing.T) {
	s, err := settings.Parse("node.yaml", []byte(valid), "")
	assert.NilError(t, err)
	assert.DeepEqual(t, *s, settings.Settings{
		Name: "dudley-1", DataCentre: "dudley", Region: "midlands",
		Addresses: settings.Addresses{Callers: "0.0.0.0:8080", Local: "127.0.0.1:8081", Peers: "127.0.0.1:8082", Operators: "127.0.0.1:8083", PeersAdvertised: "127.0.0.1:8082"},
		Platform:  "http://127.0.0.1:9000", Seeds: []string{"127.0.0.1:8082", "127.0.0.1:8182"},
		ClusterSecret: "0123456789abcdefg", StopLimit: 30 * time.Second, LogLevel: settings.LogInfo,
	})
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%v %+v %#v %s", *s, *s, *s, s.ClusterSecret), "0123456789"))
}

// Guards against invalid settings that are accepted, or reported without file,
// line and field.
func TestProblems(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown field", "region:", "regoin:", "n:3: regoin: unknown field"},
		{"missing field", "region: midlands\n", "", "n:1: region: is missing"},
		{"duplicate field", "region: midlands", "name: x", "n:3: name: duplicate field; first set on line 1"},
		{"no value", "region: midlands", "region:", "n:3: region: has no value"},
		{"wrong type", "dudley-1", "17", "n:1: name: must be text"},
		{"bad name", "dudley-1", "a/b", `n:1: name: "a/b" is not a name`},
		{"not loopback", "127.0.0.1:8081", "10.0.0.1:8081", "n:6: addresses.local: 10.0.0.1:8081 is not a loopback"},
		{"peers unspecified", "peers: 127.0.0.1", "peers: 0.0.0.0", "n:7: addresses.peers: 0.0.0.0:8082 is the unspecified address"},
		{"advertised unspecified", "  operators:", "  peers_advertised: 0.0.0.0:1\n  operators:", "n:8: addresses.peers_advertised: 0.0.0.0:1 is the unspecified address"},
		{"host name", "127.0.0.1:8083", "localhost:8083", "n:8: addresses.operators: \"localhost:8083\" is not an address"},
		{"same address", "127.0.0.1:8083", "127.0.0.1:8082", "n:8: addresses.operators: 127.0.0.1:8082 is already the address of peers"},
		{"port 0", "8083", "0", "n:8: addresses.operators: port 0"},
		{"listener missing", "  operators: 127.0.0.1:8083\n", "", "n:5: addresses.operators: is missing"},
		{"bad URL", "http:", "ftp:", "n:9: platform: "},
		{"credentials in URL", "http://", "http://u:pw@", "n:9: platform: the URL must not contain"},
		{"bad seed", "127.0.0.1:8182", "x", "n:10: seeds[1]: "},
		{"short secret", "0123456789abcdefg", "short-pass", "n:11: cluster_secret: the secret is shorter than 16"},
		{"two secrets", "cluster_secret:", "cluster_secret_file: x\ncluster_secret:", "n:11: cluster_secret_file: cannot be combined with"},
		{"secret file missing", "cluster_secret: 0123456789abcdefg", "cluster_secret_file: /nonexistent", "n:11: cluster_secret_file: cannot be read"},
		{"stop limit", "seeds:", "stop_limit: 30\nseeds:", "n:10: stop_limit: must be a duration"},
		{"log level", "seeds:", "log_level: loud\nseeds:", "n:10: log_level: \"loud\" is not"},
		{"alias", "region: midlands", "region: &a midlands\nlog_level: *a", "n:4: log_level: aliases"},
		{"two documents", "region: midlands", "region: midlands\n---\na: b", "n:4: a second YAML document"},
		{"syntax", "region: midlands", "region: [", "is not valid YAML"},
		{"no mapping", valid, "- x", "n:1: must be a mapping"},
		{"empty", valid, "", "n: is empty"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := settings.Parse("n", []byte(strings.Replace(valid, tc.old, tc.new, 1)), "")
			assert.Assert(t, settings.ErrInvalid.Has(err))
			assert.ErrorContains(t, err, tc.want)
			assert.Assert(t, !strings.Contains(err.Error(), "short-pass"), "secret in error")
		})
	}
}

// Guards against validation that stops at the first problem.
func TestAllProblems(t *testing.T) {
	_, err := settings.Parse("n", []byte("name: a/b\nseeds: [x, y]\nfoo: 1\n"), "")
	var problems settings.Problems
	assert.Assert(t, errors.As(err, &problems))
	assert.Equal(t, len(problems), 9, "%v", err) // name, 2 seeds, foo, and 5 missing fields
}

// Guards against a relative path of a secret file that is not resolved against the
// folder of the settings, and against a secret that includes the final newline.
func TestSecretFile(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "secret"), []byte("0123456789abcdefg\n"), 0o600))
	text := strings.Replace(valid, "cluster_secret: 0123456789abcdefg", "cluster_secret_file: secret", 1)
	path := filepath.Join(dir, "node.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := settings.Load(path)
	assert.NilError(t, err)
	assert.Equal(t, string(s.ClusterSecret), "0123456789abcdefg")
	_, err = settings.Load(filepath.Join(dir, "absent.yaml"))
	assert.ErrorContains(t, err, "absent.yaml: cannot be read")
}

func ExampleParse() {
	_, err := settings.Parse("node.yaml", []byte(strings.Replace(valid, "127.0.0.1:8081", "10.0.0.1:8081", 1)), "")
	fmt.Println(err)
	// Output: settings invalid: node.yaml:6: addresses.local: 10.0.0.1:8081 is not a loopback address; only the backend server on this host may connect
}

// Package lab3 has what the scripts of the third review share: stand-ins of the users'
// platform and of backend servers, clients, and processes of the project's own program.
package lab3

import (
	"bytes"
	_ "embed" // for the names and texts of the platform's protocol
	"encoding/json"
	"text/template"
)

//go:embed names.json
var namesJSON []byte

//go:embed configuration.tmpl
var configurationText string

//go:embed heartbeat.tmpl
var heartbeatText string

//go:embed settings.tmpl
var settingsText string

// names are the names of the platform's protocol.
var names = func() (n struct {
	Attempt       string `json:"attempt"`
	Deadline      string `json:"deadline"`
	Instance      string `json:"instance"`
	Tenant        string `json:"tenant"`
	Seal          string `json:"seal"`
	NotRun        string `json:"not_run"`
	Key           string `json:"key"`
	KeyScheme     string `json:"key_scheme"`
	Era           string `json:"era"`
	Heartbeat     string `json:"heartbeat"`
	Deregister    string `json:"deregister"`
	Ready         string `json:"ready"`
	Transaction   string `json:"transaction"`
	Rows          string `json:"rows"`
	Feed          string `json:"feed"`
	OperatorTable string `json:"operator_table"`
	ServersTable  string `json:"servers_table"`
	ConfigKey     string `json:"config_key"`
}) {
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	return n
}()

var (
	configurationTemplate = template.Must(template.New("configuration").Parse(configurationText))
	heartbeatTemplate     = template.Must(template.New("heartbeat").Parse(heartbeatText))
	settingsTemplate      = template.Must(template.New("settings").Parse(settingsText))
)

func fill(t *template.Template, data any) []byte {
	var b bytes.Buffer
	if err := t.Execute(&b, data); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// Command dotterelstandin runs a fake platform or a fake backend server as a
// separate process:
//
//	dotterelstandin platform ADDRESS
//	dotterelstandin backend ADDRESS CONFIG-JSON
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/dotterelseam/dotterelseam/internal/standin"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("usage: dotterelstandin platform ADDRESS | backend ADDRESS CONFIG-JSON")
	}
	l, err := net.Listen("tcp", args[1])
	if err != nil {
		return err
	}
	switch {
	case args[0] == "platform":
		return http.Serve(l, standin.NewPlatform().Handler())
	case args[0] == "backend" && len(args) == 3:
		return runBackend(l, args[2])
	}
	return fmt.Errorf("unknown stand-in %q", args[0])
}

func runBackend(l net.Listener, raw string) error {
	var cfg standin.BackendConfig
	if err := json.Unmarshal([]byte(raw), &cfg); err != nil {
		return err
	}
	cfg.Address = l.Addr().String()
	b := standin.NewBackend(cfg)
	go b.Announce(context.Background())
	srv := &http.Server{Handler: b.Handler(), ConnState: b.ConnState}
	return srv.Serve(l)
}

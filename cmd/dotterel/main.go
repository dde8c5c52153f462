// Command dotterel is the operators' command-line tool: it checks and publishes
// configuration, manages keys and quota, reports on nodes and requests, and runs a
// demo and experiments. Run "dotterel help" for its commands and exit codes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/dotterelseam/dotterelseam/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}

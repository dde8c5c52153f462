// Command embed is an HTTP service that protects itself with the packages
// admission, quota and retry, without a node beside it. GET /price answers with a
// price that it reads from another service, the catalogue, which fails every third
// request. Both run in this process.
//
// Run it with
//
//	go run ./examples/embed
//
// and send requests with the command that it prints.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"time"
)

// readHeaderTimeout bounds how long a client may take to send a request header.
const readHeaderTimeout = 5 * time.Second

func main() {
	address := flag.String("address", "127.0.0.1:8090", "ip:port to serve on")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, *address); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves until ctx ends or a server fails. Then it waits at most requestTimeout
// for requests in flight. It returns nil if ctx ended and the shutdown was complete.
func run(ctx context.Context, address string) error {
	catalogue, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := newService("http://" + catalogue.Addr().String())
	public, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Printf("curl -i -H 'Workspace: farm' http://%s/price\n", public.Addr())
	servers := []*http.Server{
		{Handler: unreliableCatalogue(), ReadHeaderTimeout: readHeaderTimeout}, {Handler: s, ReadHeaderTimeout: readHeaderTimeout},
	}
	serveErrors := make(chan error, len(servers))
	for i, l := range []net.Listener{catalogue, public} {
		go func() { serveErrors <- servers[i].Serve(l) }()
	}
	quotaDone := make(chan struct{})
	quotaCtx, stopQuota := context.WithCancel(context.WithoutCancel(ctx))
	go func() { defer close(quotaDone); s.quota.Run(quotaCtx) }()
	select {
	case <-ctx.Done():
		err = nil
	case err = <-serveErrors:
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	for _, srv := range servers {
		err = errors.Join(err, srv.Shutdown(shutdownCtx))
	}
	stopQuota()
	<-quotaDone
	return err
}

// unreliableCatalogue returns a handler that answers with a price, but with status
// 503 to every third request.
func unreliableCatalogue() http.HandlerFunc {
	var count atomic.Int64
	return func(w http.ResponseWriter, _ *http.Request) {
		if count.Add(1)%3 == 0 {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, "4.20")
	}
}

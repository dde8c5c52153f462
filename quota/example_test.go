package quota_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/quota"
)

// noTransport is the Transport of a fleet of one node.
type noTransport struct{}

func (noTransport) Call(context.Context, string, string, any, any) error {
	return errors.New("there is no other node")
}

func ExampleService() {
	srv := httptest.NewServer(standin.NewPlatform().Handler())
	defer srv.Close()
	s := quota.New(quota.Config{
		Node: "dudley-1", Incarnation: 1, DataCentre: "dudley", Transport: noTransport{},
		Table: platform.New(platform.Config{URL: srv.URL}), Members: func() []string { return []string{"dudley-1"} },
	})
	s.Configure(1, &config.Fleet{
		DataCentres: []config.DataCentre{{Name: "dudley", Region: "midlands", Share: 1}},
		Workspaces:  []config.Workspace{{Name: "farm", Rate: 50, Burst: 10}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	for s.Bucket.Take(ctx, "farm") != nil { // refused until the node is the holder and has a share
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Println("one request may pass; an unknown workspace may not:", s.Bucket.Take(ctx, "other") != nil)
	cancel()
	<-done
	// Output: one request may pass; an unknown workspace may not: true
}

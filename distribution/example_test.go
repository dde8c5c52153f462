package distribution_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"time"

	"github.com/dotterelseam/dotterelseam/config"
	"github.com/dotterelseam/dotterelseam/distribution"
	"github.com/dotterelseam/dotterelseam/gossip"
	"github.com/dotterelseam/dotterelseam/internal/standin"
	"github.com/dotterelseam/dotterelseam/membership"
	"github.com/dotterelseam/dotterelseam/peer"
	"github.com/dotterelseam/dotterelseam/platform"
	"github.com/dotterelseam/dotterelseam/publish"
)

func ExampleDistribution() {
	srv := httptest.NewServer(standin.NewPlatform().Handler())
	defer srv.Close()
	client := platform.New(platform.Config{URL: srv.URL})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	mesh := peer.NewMesh(peer.Config{Identity: peer.Identity{Node: "host-1", DataCentre: "dudley"}, Secret: "secret"})
	defer mesh.Close()
	store := gossip.New(gossip.Config{Transport: mesh})
	members := membership.New(membership.Config{Mesh: mesh, Store: store})
	d := distribution.New(distribution.Config{Platform: client, Mesh: mesh, Store: store, Peers: members})
	go d.Run(ctx)

	current, err := publish.Publish(ctx, client, 0, &config.Document{Fleet: config.Fleet{
		DataCentres: []config.DataCentre{{Name: "dudley", Region: "midlands", Share: 1}},
		Keys:        config.KeyPolicy{CutOffLimit: time.Second},
	}})
	fmt.Println(current.Version, err)
	<-d.Ready()
	fmt.Println(d.Current().Version)
	// Output:
	// 1 <nil>
	// 1
}
